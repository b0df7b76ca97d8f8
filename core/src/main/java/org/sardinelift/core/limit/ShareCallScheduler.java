package org.sardinelift.core.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Schedules the calls that read and write the shares: one at a time, numbered, with jittered pauses
 * between them. The timeout adapts to a few times the observed latency, so that a lost answer is
 * detected before the longest timeout. Times are nanoseconds. Not safe for use by several threads.
 */
final class ShareCallScheduler {
    private static final double JITTER = 0.25;
    private static final int TIMEOUT_LATENCY_FACTOR = 4;
    private static final int MIN_TIMEOUT_DIVISOR = 8;

    private final RandomGenerator random;
    private final Duration retry;
    private final long maxTimeout;
    private long timeout;
    private long number;
    private boolean isInFlight;
    private long sentAt;
    private long nextAt;

    ShareCallScheduler(LimitBounds bounds, RandomGenerator random) {
        this.random = random;
        this.retry = bounds.retry();
        this.maxTimeout = bounds.callTimeout().toNanos();
        this.timeout = minTimeout();
    }

    /** Whether the call in flight has timed out; if so, doubles the timeout of the next one. */
    boolean hasTimedOut(long now) {
        boolean isOver = isInFlight && now - sentAt > timeout;
        timeout = isOver ? Math.min(2 * timeout, maxTimeout) : timeout;
        return isOver;
    }

    boolean isDue(long now) {
        return !isInFlight && now >= nextAt;
    }

    /** Time at which {@link #hasTimedOut} or {@link #isDue} becomes true. */
    long dueAt() {
        return isInFlight ? sentAt + timeout + 1 : nextAt;
    }

    /** Starts a call and returns its number. */
    long begin(long now) {
        isInFlight = true;
        sentAt = now;
        return ++number;
    }

    /** Whether this call is in flight. */
    boolean isInFlight(long call) {
        return isInFlight && call == number;
    }

    /** Time at which the latest call was sent. */
    long sentAt() {
        return sentAt;
    }

    /** Adapts the timeout to the latency of the answer that has just arrived. */
    void recordLatency(long now) {
        long newTimeout = Math.max(minTimeout(), TIMEOUT_LATENCY_FACTOR * (now - sentAt));
        timeout = Math.min(maxTimeout, newTimeout);
    }

    /** Ends the call; the next one is due at once. */
    void end(long now) {
        isInFlight = false;
        nextAt = now;
    }

    /** Ends the call; the next one is due after a jittered pause. */
    void end(Duration pause, long now) {
        end(now + jittered(pause));
    }

    /** Abandons the call; a late answer to it is ignored. */
    void abandon(long now) {
        number++;
        end(retry, now);
    }

    /** Makes the next call due no later than at a time. */
    void scheduleNoLaterThan(long at) {
        nextAt = Math.min(nextAt, at);
    }

    /** Makes the next call due no later than after a jittered retry pause. */
    void scheduleWithinRetryPause(long now) {
        scheduleNoLaterThan(now + jittered(retry));
    }

    private long minTimeout() {
        return maxTimeout / MIN_TIMEOUT_DIVISOR;
    }

    private long jittered(Duration pause) {
        return (long) (pause.toNanos() * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
