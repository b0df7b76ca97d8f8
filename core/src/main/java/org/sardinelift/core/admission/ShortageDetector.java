package org.sardinelift.core.admission;

import java.time.Duration;

/**
 * Detects whether the slots of a service are short, with hysteresis. Times are nanoseconds of a
 * monotonic clock. Not thread-safe.
 */
final class ShortageDetector {
    /** Fraction of the slots in use from which the service counts as full. */
    private static final double FULL_FRACTION = 0.98;

    /** Fraction of the slots in use below which a shortage ends. */
    private static final double RELAXED_FRACTION = 0.9;

    /** Longer than the time in which a burst of a few calls fills the slots. */
    private static final Duration FULL_TIME = Duration.ofMillis(100);

    /** Longer than the usual time of a call, so that a gap between two peaks ends no shortage. */
    private static final Duration RELAXED_TIME = Duration.ofSeconds(1);

    private boolean isShort;
    private boolean isChanging;
    private long changingSince;
    private long shortSince;

    boolean isShort() {
        return isShort;
    }

    /** When the shortage began; meaningless without a shortage. */
    long shortSince() {
        return shortSince;
    }

    /** A call found no room. */
    void onNoRoom(long now) {
        isChanging = false;
        if (!isShort) {
            isShort = true;
            shortSince = now;
        }
    }

    /** Takes a sample of the slots in use. */
    void onSample(double used, double slots, long now) {
        if (slots <= 0) {
            isShort = false;
        }
        boolean isOtherState =
                isShort ? used < RELAXED_FRACTION * slots : used >= FULL_FRACTION * slots;
        if (slots <= 0 || !isOtherState) {
            isChanging = false;
            return;
        }
        if (!isChanging) {
            isChanging = true;
            changingSince = now;
        }
        Duration time = isShort ? RELAXED_TIME : FULL_TIME;
        if (now - changingSince >= time.toNanos()) {
            isChanging = false;
            isShort = !isShort;
            shortSince = now;
        }
    }
}
