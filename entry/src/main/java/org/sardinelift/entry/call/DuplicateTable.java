package org.sardinelift.entry.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Where the calls in flight with equal content are. A further copy goes to the same target. Where
 * that target takes no more calls it may have died of the content, so the copy is held until the
 * copies in flight have ended, or for a bounded time: an entry that does not know yet what became
 * of them sends no copy to a second target.
 */
final class DuplicateTable {
    private static final int LOCKS = 64;

    private final Object[] locks = Stream.generate(Object::new).limit(LOCKS).toArray();
    private final Map<String, Copies> byFingerprint = new ConcurrentHashMap<>();

    /** Where a copy may go. */
    sealed interface Placement {
        /** To the copies in flight. */
        record Pinned(String companion) implements Placement {}

        /** Nowhere yet. */
        record Blocked() implements Placement {}

        /** To any target. */
        record Unpinned() implements Placement {}
    }

    /** Copies of one request on one target. */
    private record Copies(String companion, int count) {
        Copies plus(int change) {
            return new Copies(companion, count + change);
        }
    }

    /** Held while a target is chosen, so that no two copies are sent apart. */
    Object lockFor(String fingerprint) {
        return locks[Math.floorMod(fingerprint.hashCode(), LOCKS)];
    }

    /**
     * Where a copy may go; called with the {@link #lockFor} of the fingerprint.
     *
     * @param fingerprint hash of the request
     * @param usable whether a companion can take the copy
     * @param mayHold whether the copy may be held for longer
     * @return the place
     */
    Placement findPlacement(String fingerprint, Predicate<String> usable, boolean mayHold) {
        Copies copies = byFingerprint.get(fingerprint);
        if (copies == null) {
            return new Placement.Unpinned();
        }
        if (usable.test(copies.companion())) {
            return new Placement.Pinned(copies.companion());
        }
        return mayHold ? new Placement.Blocked() : new Placement.Unpinned();
    }

    void add(String fingerprint, String companion) {
        byFingerprint.compute(
                fingerprint,
                (key, copies) ->
                        copies == null || !copies.companion().equals(companion)
                                ? new Copies(companion, 1)
                                : copies.plus(1));
    }

    void remove(String fingerprint, String companion) {
        byFingerprint.computeIfPresent(fingerprint, (key, copies) -> less(copies, companion));
    }

    private static @Nullable Copies less(Copies copies, String companion) {
        if (!copies.companion().equals(companion)) {
            return copies;
        }
        return copies.count() == 1 ? null : copies.plus(-1);
    }
}
