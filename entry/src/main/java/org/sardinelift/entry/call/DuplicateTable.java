package org.sardinelift.entry.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Targets of the calls in flight, by content. A duplicate of a call in flight goes to the same
 * target. If that target takes no more calls, the content may have crashed it; the duplicate then
 * waits, for a bounded time, until those in flight have ended, so that an entry which does not know
 * their outcome yet sends none to a second target.
 */
final class DuplicateTable {
    private static final int LOCK_COUNT = 64;

    private final Object[] locks = Stream.generate(Object::new).limit(LOCK_COUNT).toArray();
    private final Map<String, Duplicates> byFingerprint = new ConcurrentHashMap<>();

    /** Target to which a duplicate may be sent. */
    sealed interface Placement {
        /** Only the companion of the duplicates in flight. */
        record Pinned(String companion) implements Placement {}

        /** No target yet: duplicates in flight must end first. */
        record Blocked() implements Placement {}

        /** Any target. */
        record Unpinned() implements Placement {}
    }

    /** Number of calls in flight with one content, and their companion. */
    private record Duplicates(String companion, int count) {
        Duplicates plus(int change) {
            return new Duplicates(companion, count + change);
        }
    }

    /** Returns the lock to hold while a target is chosen, so that duplicates go to one target. */
    Object lockFor(String fingerprint) {
        return locks[Math.floorMod(fingerprint.hashCode(), LOCK_COUNT)];
    }

    /**
     * Returns where a duplicate may go; the caller holds the {@link #lockFor} of the fingerprint.
     *
     * @param fingerprint hash of the request
     * @param isUsable whether a companion, by name, can run the duplicate
     * @param mayWait whether the duplicate may wait longer
     * @return the placement
     */
    Placement findPlacement(String fingerprint, Predicate<String> isUsable, boolean mayWait) {
        Duplicates duplicates = byFingerprint.get(fingerprint);
        if (duplicates == null) {
            return new Placement.Unpinned();
        }
        if (isUsable.test(duplicates.companion())) {
            return new Placement.Pinned(duplicates.companion());
        }
        return mayWait ? new Placement.Blocked() : new Placement.Unpinned();
    }

    void add(String fingerprint, String companion) {
        byFingerprint.compute(
                fingerprint,
                (ignored, duplicates) ->
                        duplicates == null || !duplicates.companion().equals(companion)
                                ? new Duplicates(companion, 1)
                                : duplicates.plus(1));
    }

    void remove(String fingerprint, String companion) {
        byFingerprint.computeIfPresent(
                fingerprint, (ignored, duplicates) -> withoutOne(duplicates, companion));
    }

    private static @Nullable Duplicates withoutOne(Duplicates duplicates, String companion) {
        if (!duplicates.companion().equals(companion)) {
            return duplicates;
        }
        return duplicates.count() == 1 ? null : duplicates.plus(-1);
    }
}
