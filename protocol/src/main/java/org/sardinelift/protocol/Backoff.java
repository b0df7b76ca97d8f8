package org.sardinelift.protocol;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with jitter. */
final class Backoff {
    private final long minNanos;
    private final long maxNanos;
    private final RandomGenerator random;
    private long boundNanos;

    private Backoff(long minNanos, long maxNanos, RandomGenerator random) {
        this.minNanos = minNanos;
        this.maxNanos = maxNanos;
        this.random = random;
        this.boundNanos = minNanos;
    }

    static Backoff of(ConnectionTimings timings, RandomGenerator random) {
        long min = Math.max(1, timings.minReconnectDelay().toNanos());
        return new Backoff(min, Math.max(min, timings.maxReconnectDelay().toNanos()), random);
    }

    /** Random delay between half of a bound and the bound, which doubles with each call. */
    Duration nextDelay() {
        long bound = boundNanos;
        boundNanos = Math.min(maxNanos, bound * 2);
        return Duration.ofNanos(bound / 2 + random.nextLong(bound / 2 + 1));
    }

    void reset() {
        boundNanos = minNanos;
    }
}
