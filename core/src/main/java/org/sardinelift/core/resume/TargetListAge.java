package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Collection;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerTable;

/**
 * Decides whether another instance can know of targets that this one doesn't: its list of targets
 * may be old, and the store away.
 */
public final class TargetListAge {
    /**
     * Longest age at which a list counts as current: longer than the interval at which lists are
     * read and passed on.
     */
    public static final Duration MAX_CURRENT = Duration.ofMillis(1_300);

    private TargetListAge() {}

    /**
     * Decides whether a list is current. While the store is away an old one is, if most of the
     * other instances are heard and none of them has a newer one.
     *
     * @param ageNanos time since the store is known to have held the list
     * @param revision revision of the store at which the list last changed
     * @param peers the other instances
     * @param now the time, nanoseconds
     * @return false if an instance that isn't heard, or one that is, may have listed more
     */
    public static boolean isCurrent(long ageNanos, long revision, PeerTable peers, long now) {
        return ageNanos < MAX_CURRENT.toNanos() || isNewestHeard(revision, peers, now);
    }

    private static boolean isNewestHeard(long revision, PeerTable peers, long now) {
        Collection<Peer> reported = peers.all().stream().filter(Peer::hasReported).toList();
        Collection<Peer> live = reported.stream().filter(peer -> peers.isLive(peer, now)).toList();
        return 2 * live.size() >= reported.size()
                && live.stream().allMatch(peer -> peer.targetsRevision() <= revision);
    }
}
