package org.sardinelift.core.limit;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Division of the limits between entries; immutable. The units of all members and of the pool
 * always add up to {@link #TOTAL_UNITS}. A member's units divided by {@link #TOTAL_UNITS} are its
 * fraction of every team's rate and burst, so the size of the object does not grow with the number
 * of teams.
 *
 * @param pool units that no member has
 * @param fresh units of the pool that no member has ever had, so that no tokens of theirs were
 *     spent; they are allocated first, and units that return to the pool aren't fresh
 * @param members units of each member
 */
public record Shares(long pool, long fresh, Map<MemberId, Member> members) {
    /** Divisible by every number up to 16. */
    public static final long TOTAL_UNITS = 720_720;

    /**
     * The part of one member.
     *
     * @param units its units
     * @param joinedVersion version of the object at which it joined; of two incarnations of one
     *     instance the one that joined later is the newer
     */
    public record Member(long units, long joinedVersion) {}

    /** Checks that the units add up to {@link #TOTAL_UNITS} and that none is negative. */
    public Shares {
        members = Collections.unmodifiableMap(new TreeMap<>(members));
        long memberUnits = members.values().stream().mapToLong(Member::units).sum();
        boolean hasNegative = members.values().stream().anyMatch(member -> member.units() < 0);
        if (pool < 0 || hasNegative || memberUnits + pool != TOTAL_UNITS) {
            throw new IllegalArgumentException(
                    "units of the pool and all members add up to "
                            + (memberUnits + pool)
                            + " instead of "
                            + TOTAL_UNITS);
        }
        if (fresh < 0 || fresh > pool) {
            throw new IllegalArgumentException(fresh + " fresh units in a pool of " + pool);
        }
    }

    /**
     * Returns the division before any member joined.
     *
     * @return shares with all units in the pool, and fresh
     */
    public static Shares initial() {
        return new Shares(TOTAL_UNITS, TOTAL_UNITS, Map.of());
    }

    /**
     * Returns the units of a member.
     *
     * @param id the member
     * @return its units, 0 if it isn't a member
     */
    public long units(MemberId id) {
        Member member = members.get(id);
        return member == null ? 0 : member.units();
    }

    /**
     * Returns the units of all members of some instances.
     *
     * @param instances names of the instances
     * @return sum of the units
     */
    public long unitsOf(Set<String> instances) {
        return members.entrySet().stream()
                .filter(member -> instances.contains(member.getKey().instance()))
                .mapToLong(member -> member.getValue().units())
                .sum();
    }

    /**
     * Adds a member without units.
     *
     * @param id the member
     * @param version version that the object will have with the member
     * @return the shares with the member, the same object if it is a member already
     */
    public Shares addMember(MemberId id, long version) {
        if (members.containsKey(id)) {
            return this;
        }
        Map<MemberId, Member> newMembers = new TreeMap<>(members);
        newMembers.put(id, new Member(0, version));
        return new Shares(pool, fresh, newMembers);
    }

    /**
     * Moves units from the pool to a member, or back if the number is negative.
     *
     * @param id the member
     * @param units units to move
     * @return the shares after the move
     */
    public Shares transferFromPool(MemberId id, long units) {
        Member member = members.get(id);
        if (member == null) {
            throw new IllegalArgumentException(id + " is not a member of the shares");
        }
        Map<MemberId, Member> newMembers = new TreeMap<>(members);
        newMembers.put(id, new Member(member.units() + units, member.joinedVersion()));
        return new Shares(pool - units, fresh - Math.min(fresh, Math.max(0, units)), newMembers);
    }

    /**
     * Removes a member and moves its units to the pool.
     *
     * @param id the member
     * @return the shares without the member
     */
    public Shares removeMember(MemberId id) {
        Map<MemberId, Member> newMembers = new TreeMap<>(members);
        newMembers.remove(id);
        return new Shares(pool + units(id), fresh, newMembers);
    }

    /**
     * Returns the number of units that members with hardly any units lack.
     *
     * @param threshold number of units below which a member counts
     * @param enough number of units that each should have
     * @return sum of the missing units
     */
    public long shortfall(long threshold, long enough) {
        return members.values().stream()
                .filter(member -> member.units() < threshold)
                .mapToLong(member -> enough - member.units())
                .sum();
    }

    /**
     * Whether a newer incarnation of the same instance has joined.
     *
     * @param id the member
     * @return true if the member is an older incarnation
     */
    public boolean isSuperseded(MemberId id) {
        Member member = members.get(id);
        return member != null
                && members.entrySet().stream()
                        .filter(other -> other.getKey().instance().equals(id.instance()))
                        .anyMatch(
                                other -> other.getValue().joinedVersion() > member.joinedVersion());
    }
}
