package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.Random;

/** Exponential backoff with jitter, so that instances do not retry at the same moment. */
final class Backoff {
    private static final int MAX_DOUBLINGS = 16;

    private final Duration firstPause;
    private final Duration longestPause;
    private final Random random;

    Backoff(Duration first, Duration longest, long seed) {
        this.firstPause = first;
        this.longestPause = longest;
        this.random = new Random(seed);
    }

    /** Returns a random pause after consecutive failures, from half to all of the nominal time. */
    Duration pause(int failures) {
        long nominal = firstPause.toNanos() << Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        long bounded = Math.min(nominal, longestPause.toNanos());
        return Duration.ofNanos(Math.round(bounded * (1 + random.nextDouble()) / 2));
    }
}
