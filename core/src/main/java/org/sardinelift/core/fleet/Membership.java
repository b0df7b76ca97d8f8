package org.sardinelift.core.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines the members of the fleet from the platform's list, the open connections and the
 * instances' own notices.
 *
 * <ul>
 *   <li>The platform's list is the only evidence that an instance exists, and the only source of
 *       its address. It lags both ways: it may show an instance that is gone and miss a new one.
 *   <li>An instance's own notice that it is leaving is final for that name: nothing revokes it, not
 *       even a list that still shows the instance as live. From then on it gets no new work, and
 *       calls that run there continue. An instance that stays must come back under a new name.
 *   <li>A name belongs to one incarnation of an instance. A replacement has another name, even at
 *       the same address; the older instance at that address then gets no new work, since a
 *       connection to the address reaches the newer one.
 *   <li>An open connection proves that the instance is alive, whatever the list says: an instance
 *       that is missing from the list is kept while its connection is open.
 *   <li>A closed or silent connection proves only that this path is closed. The instance stays a
 *       member, but no work is routed to it until a connection is open again. It is no evidence
 *       about calls that run there.
 *   <li>An instance is gone when it has been missing from the list for a time and no connection to
 *       it is open. Even then it may be alive, disconnected and running calls, so its removal here
 *       never frees anything that it holds; {@code core.limit} and the batch claims wait for their
 *       own time limits.
 *   <li>While the platform does not answer, nothing is concluded from its silence: the members
 *       stay.
 * </ul>
 *
 * <p>Times are milliseconds of a monotonic clock. Not thread-safe.
 */
public final class Membership {
    private static final int MAX_LEAVING_NAMES = 10_000;

    private final MembershipTimings timings;
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> connected = new HashSet<>();
    private final Set<String> leavingNames = new LinkedHashSet<>();
    private long listCount;

    private Membership(MembershipTimings timings) {
        this.timings = timings;
    }

    /**
     * Creates a membership without members.
     *
     * @param timings interval and time limit
     * @return the membership
     */
    public static Membership create(MembershipTimings timings) {
        return new Membership(timings);
    }

    /**
     * The platform's list was read.
     *
     * @param listed instances in the list
     * @param nowMs the time
     */
    public void onList(List<InstanceInfo> listed, long nowMs) {
        listCount++;
        listed.forEach(
                info ->
                        members.compute(
                                info.name(),
                                (name, known) ->
                                        known == null
                                                ? new Member(info, listCount, nowMs, listCount)
                                                : known.listedAgain(info, nowMs, listCount)));
        members.values().removeIf(member -> isGone(member, nowMs));
    }

    /**
     * An instance has announced that it is leaving.
     *
     * @param instance its name
     */
    public void onLeaving(String instance) {
        leavingNames.add(instance);
        if (leavingNames.size() > MAX_LEAVING_NAMES) {
            leavingNames.remove(leavingNames.iterator().next());
        }
    }

    /**
     * A connection to an instance was opened or lost.
     *
     * @param instance its name, as stated in its hello frame
     * @param isOpen whether a connection is open now
     */
    public void onConnectionChanged(String instance, boolean isOpen) {
        if (isOpen) {
            connected.add(instance);
        } else {
            connected.remove(instance);
        }
    }

    /**
     * Returns the members.
     *
     * @return an immutable view, sorted by name
     */
    public FleetView view() {
        return new FleetView(membersWithRole("entry"), membersWithRole("companion"));
    }

    private List<InstanceInfo> membersWithRole(String role) {
        return members.values().stream()
                .filter(member -> member.info().role().equals(role))
                .map(member -> member.info().withLeaving(isLeaving(member)))
                .sorted(Comparator.comparing(InstanceInfo::name))
                .toList();
    }

    private boolean isLeaving(Member member) {
        return member.info().isLeaving()
                || leavingNames.contains(member.info().name())
                || members.values().stream().anyMatch(other -> other.replaces(member));
    }

    private boolean isGone(Member member, long nowMs) {
        return member.lastList() != listCount
                && !connected.contains(member.info().name())
                && nowMs - member.lastSeenMs() >= timings.goneAfter().toMillis();
    }

    private record Member(InstanceInfo info, long firstList, long lastSeenMs, long lastList) {
        Member listedAgain(InstanceInfo newer, long nowMs, long list) {
            InstanceInfo updated = newer.withLeaving(newer.isLeaving() || info.isLeaving());
            return new Member(updated, firstList, nowMs, list);
        }

        boolean replaces(Member older) {
            return firstList > older.firstList
                    && info.port() == older.info.port()
                    && info.host().equals(older.info.host());
        }
    }
}
