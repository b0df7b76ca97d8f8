package org.sardinelift.core.limit;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How the limits are divided between entries; immutable. The units of all members and of the pool
 * add up to {@link #TOTAL_UNITS}, whatever is moved. A member's units over {@link #TOTAL_UNITS} is
 * its fraction of every team's rate and burst, so that the size does not grow with the teams.
 *
 * @param pool units that no member holds
 * @param fresh units of the pool that no member has ever held, so that nothing was spent from them;
 *     they are taken first, and units that come back aren't fresh
 * @param members units of each member
 */
public record Shares(long pool, long fresh, Map<MemberId, Member> members) {
    /** Units in all; divisible by every number up to 16. */
    public static final long TOTAL_UNITS = 720_720;

    /**
     * What one member holds.
     *
     * @param units its units
     * @param joinedVersion version of the object at which it joined; of two lives of one instance
     *     the one that joined later is the newer
     */
    public record Member(long units, long joinedVersion) {}

    /** Checks that nothing was lost or made. */
    public Shares {
        members = Collections.unmodifiableMap(new TreeMap<>(members));
        long held = members.values().stream().mapToLong(Member::units).sum();
        boolean negative = members.values().stream().anyMatch(member -> member.units() < 0);
        if (pool < 0 || negative || held + pool != TOTAL_UNITS) {
            throw new IllegalArgumentException(
                    "units add up to " + (held + pool) + " instead of " + TOTAL_UNITS);
        }
        if (fresh < 0 || fresh > pool) {
            throw new IllegalArgumentException(fresh + " fresh units in a pool of " + pool);
        }
    }

    /**
     * The state before any member joined.
     *
     * @return all units in the pool, and fresh
     */
    public static Shares initial() {
        return new Shares(TOTAL_UNITS, TOTAL_UNITS, Map.of());
    }

    /**
     * Units of a member.
     *
     * @param id the member
     * @return its units, 0 where it isn't a member
     */
    public long units(MemberId id) {
        Member member = members.get(id);
        return member == null ? 0 : member.units();
    }

    /**
     * Units of all members of some instances.
     *
     * @param instances their names
     * @return units in all
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
     * @param version version that the object will have
     * @return the shares with it, the same where it is a member already
     */
    public Shares addMember(MemberId id, long version) {
        if (members.containsKey(id)) {
            return this;
        }
        Map<MemberId, Member> next = new TreeMap<>(members);
        next.put(id, new Member(0, version));
        return new Shares(pool, fresh, next);
    }

    /**
     * Moves units from the pool to a member, or back for a negative number.
     *
     * @param id the member
     * @param units units to move
     * @return the shares after the move
     */
    public Shares transferFromPool(MemberId id, long units) {
        Member member = members.get(id);
        if (member == null) {
            throw new IllegalArgumentException(id + " is no member");
        }
        Map<MemberId, Member> next = new TreeMap<>(members);
        next.put(id, new Member(member.units() + units, member.joinedVersion()));
        return new Shares(pool - units, fresh - Math.min(fresh, Math.max(0, units)), next);
    }

    /**
     * Removes a member; its units go to the pool.
     *
     * @param id the member
     * @return the shares without it
     */
    public Shares removeMember(MemberId id) {
        Map<MemberId, Member> next = new TreeMap<>(members);
        next.remove(id);
        return new Shares(pool + units(id), fresh, next);
    }

    /**
     * Units that members which hold hardly any lack.
     *
     * @param hardlyAny number of units below which a member counts
     * @param enough number of units that each should have
     * @return units lacking in all
     */
    public long shortfall(long hardlyAny, long enough) {
        return members.values().stream()
                .filter(member -> member.units() < hardlyAny)
                .mapToLong(member -> enough - member.units())
                .sum();
    }

    /**
     * Whether a newer life of the same instance has joined.
     *
     * @param id the member
     * @return true where the member is an older life
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
