package org.sardinelift.core.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who is a member, and who may conclude what from which evidence.
 *
 * <ul>
 *   <li>The platform's list is the only evidence that an instance exists, and the only source of
 *       its address. It lags both ways: it may show an instance that is gone and miss a new one.
 *   <li>An instance's own word that it leaves is final for that name: nothing takes it back, not
 *       even a list that still shows the instance as live. It gets no new work from then on, and
 *       what runs there goes on. An instance that stays must come back under a new name.
 *   <li>A name is one life of an instance. A replacement has another name, also at the same
 *       address; then the older one at that address is left out of new work, since a connection to
 *       the address reaches the newer one.
 *   <li>An open connection proves that the instance lives, whatever the list says: an instance that
 *       is missing from the list is kept while its connection is open.
 *   <li>A closed or silent connection proves nothing but that this path is closed. The instance
 *       stays a member; whoever routes work leaves it out until a connection is open again. It is
 *       no evidence about calls under way there.
 *   <li>An instance is gone when the list has missed it for a time and no connection is open. Even
 *       then it may be alive, cut off and at work, so being gone here never frees anything that it
 *       holds; {@code core.limit} and the batch claims wait for their own bounds.
 *   <li>While the platform doesn't answer nothing is concluded from its silence: the members stay.
 * </ul>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class Membership {
    private static final int MAX_LEAVING_NAMES = 10_000;

    private final MembershipTimings timings;
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> connected = new HashSet<>();
    private final Set<String> saidLeaving = new LinkedHashSet<>();
    private long lists;

    private Membership(MembershipTimings timings) {
        this.timings = timings;
    }

    /**
     * Starts with no members.
     *
     * @param timings bounds
     * @return a new membership
     */
    public static Membership create(MembershipTimings timings) {
        return new Membership(timings);
    }

    /**
     * The platform's list was read.
     *
     * @param listed instances that it shows
     * @param nowMs the time
     */
    public void onList(List<InstanceInfo> listed, long nowMs) {
        lists++;
        listed.forEach(
                info ->
                        members.compute(
                                info.name(),
                                (name, held) ->
                                        held == null
                                                ? new Member(info, lists, nowMs, lists)
                                                : held.seen(info, nowMs, lists)));
        members.values().removeIf(member -> isGone(member, nowMs));
    }

    /**
     * An instance has said that it is leaving.
     *
     * @param instance its name
     */
    public void onLeaving(String instance) {
        saidLeaving.add(instance);
        if (saidLeaving.size() > MAX_LEAVING_NAMES) {
            saidLeaving.remove(saidLeaving.iterator().next());
        }
    }

    /**
     * A connection to an instance was opened or lost.
     *
     * @param instance its name, as it said in its hello
     * @param up whether one is open now
     */
    public void onConnectionChanged(String instance, boolean up) {
        if (up) {
            connected.add(instance);
        } else {
            connected.remove(instance);
        }
    }

    /**
     * Time for which the list has missed an instance.
     *
     * @param instance its name
     * @param nowMs the time
     * @return milliseconds, 0 where the newest list shows it, the greatest number where it was
     *     never or no longer known
     */
    public long missingMs(String instance, long nowMs) {
        Member member = members.get(instance);
        if (member == null) {
            return Long.MAX_VALUE;
        }
        return member.lastList() == lists ? 0 : nowMs - member.lastSeenMs();
    }

    /**
     * The members.
     *
     * @return an immutable view, by name
     */
    public FleetView view() {
        return new FleetView(role("entry"), role("companion"));
    }

    private List<InstanceInfo> role(String role) {
        return members.values().stream()
                .filter(member -> member.info().role().equals(role))
                .map(member -> member.info().isLeaving(isLeaving(member)))
                .sorted(Comparator.comparing(InstanceInfo::name))
                .toList();
    }

    private boolean isLeaving(Member member) {
        return member.info().isLeaving()
                || saidLeaving.contains(member.info().name())
                || members.values().stream().anyMatch(other -> other.replaces(member));
    }

    private boolean isGone(Member member, long nowMs) {
        return member.lastList() != lists
                && !connected.contains(member.info().name())
                && nowMs - member.lastSeenMs() >= timings.goneAfter().toMillis();
    }

    private record Member(InstanceInfo info, long firstList, long lastSeenMs, long lastList) {
        Member seen(InstanceInfo newer, long nowMs, long list) {
            InstanceInfo kept = newer.isLeaving(newer.isLeaving() || info.isLeaving());
            return new Member(kept, firstList, nowMs, list);
        }

        boolean replaces(Member older) {
            return firstList > older.firstList
                    && info.port() == older.info.port()
                    && info.host().equals(older.info.host());
        }
    }
}
