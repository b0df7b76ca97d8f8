package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;

/** When the platform and the peers were last heard. Times are nanoseconds. */
final class ContactTracker {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final LimitBounds bounds;
    private final Map<String, Word> peers = new HashMap<>();
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
        peers.put(peer, new Word(now - platformAge));
    }

    void onPeerDown(String peer) {
        peers.remove(peer);
    }

    long platformAge(long now) {
        return now - platformAt;
    }

    /** When nobody has been heard for too long, unless somebody is heard before. */
    long isolationDeadline() {
        return Math.max(platformAt, peerAt) + bounds.isolationBound().toNanos() + 1;
    }

    /** When the platform has not been reached for too long, unless it is reached before. */
    long platformContactDeadline() {
        return platformAt + bounds.contactBound().toNanos() + 1;
    }

    /**
     * Whether others may have taken this entry's units without its knowing: it hears nobody, or it
     * can't reach the platform while a peer can.
     */
    boolean mayHaveLostUnits(long now) {
        boolean silent = now - Math.max(platformAt, peerAt) > bounds.isolationBound().toNanos();
        long contactBound = bounds.contactBound().toNanos();
        boolean cutOff =
                now - platformAt > contactBound
                        && peers.values().stream()
                                .anyMatch(word -> word.platformAt() - platformAt > contactBound);
        return silent || cutOff;
    }

    private record Word(long platformAt) {}
}
