package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks when this entry last had contact with the platform and with its peers. Times are
 * nanoseconds.
 */
final class ContactTracker {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LimitBounds bounds;
    private final Map<String, PlatformContact> peers = new HashMap<>();
    private long platformAt = NEVER;
    private long peerAt = NEVER;

    ContactTracker(LimitBounds bounds) {
        this.bounds = bounds;
    }

    void onPlatformContact(long sentAt) {
        platformAt = Math.max(platformAt, sentAt);
    }

    void onPeerReport(String peer, long platformAge, long now) {
        peerAt = now;
        peers.put(peer, new PlatformContact(now - platformAge));
    }

    void onPeerDown(String peer) {
        peers.remove(peer);
    }

    long platformAge(long now) {
        return now - platformAt;
    }

    /** Time from which this entry counts as isolated, unless it has contact with anyone before. */
    long isolationDeadline() {
        return Math.max(platformAt, peerAt) + bounds.isolationBound().toNanos() + 1;
    }

    /** Time from which the platform counts as lost, unless it is reached before. */
    long platformContactDeadline() {
        return platformAt + bounds.contactBound().toNanos() + 1;
    }

    /**
     * Whether others may have reclaimed this entry's units unnoticed: it has no contact with the
     * platform or any peer, or it can't reach the platform while a peer can.
     */
    boolean mayHaveLostUnits(long now) {
        boolean isIsolated = now - Math.max(platformAt, peerAt) > bounds.isolationBound().toNanos();
        long contactBound = bounds.contactBound().toNanos();
        boolean isCutOff =
                now - platformAt > contactBound
                        && peers.values().stream()
                                .anyMatch(
                                        contact ->
                                                contact.platformAt() - platformAt > contactBound);
        return isIsolated || isCutOff;
    }

    private record PlatformContact(long platformAt) {}
}
