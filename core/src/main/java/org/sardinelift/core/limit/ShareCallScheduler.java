package org.sardinelift.core.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Paces the calls for the shares: one at a time, numbered, with jittered pauses between them. A
 * lost answer is noticed after a few times what answers take, not after the whole timeout. Times
 * are nanoseconds. Not safe for use by several threads.
 */
final class ShareCallScheduler {
    private static final double JITTER = 0.25;
    private static final int PATIENCE_FACTOR = 4;
    private static final int LEAST_PATIENCE_PARTS = 8;

    private final RandomGenerator random;
    private final Duration retry;
    private final long longestPatience;
    private long patience;
    private long number;
    private boolean waiting;
    private long sentAt;
    private long nextAt;

    ShareCallScheduler(LimitBounds bounds, RandomGenerator random) {
        this.random = random;
        this.retry = bounds.retry();
        this.longestPatience = bounds.callTimeout().toNanos();
        this.patience = leastPatience();
    }

    /** Whether the call under way has gone without an answer for too long; the next may longer. */
    boolean hasTimedOut(long now) {
        boolean over = waiting && now - sentAt > patience;
        patience = over ? Math.min(2 * patience, longestPatience) : patience;
        return over;
    }

    boolean isDue(long now) {
        return !waiting && now >= nextAt;
    }

    /** When {@link #hasTimedOut} or {@link #isDue} is true next. */
    long dueAt() {
        return waiting ? sentAt + patience + 1 : nextAt;
    }

    /** Begins a call and returns its number. */
    long begin(long now) {
        waiting = true;
        sentAt = now;
        return ++number;
    }

    /** Whether this is the call under way. */
    boolean isInFlight(long call) {
        return waiting && call == number;
    }

    /** When the latest call was sent. */
    long sentAt() {
        return sentAt;
    }

    /** Learns from an answer how long answers take. */
    void recordLatency(long now) {
        long enough = Math.max(leastPatience(), PATIENCE_FACTOR * (now - sentAt));
        patience = Math.min(longestPatience, enough);
    }

    /** Ends the call; the next one comes at once. */
    void end(long now) {
        waiting = false;
        nextAt = now;
    }

    /** Ends the call; the next one comes after about a pause. */
    void end(Duration pause, long now) {
        end(now + jittered(pause));
    }

    /** Gives the call up: a late answer to it counts no more. */
    void abandon(long now) {
        number++;
        end(retry, now);
    }

    /** Has the next call come no later than this. */
    void scheduleNoLaterThan(long at) {
        nextAt = Math.min(nextAt, at);
    }

    /** Has the next call come no later than about a retry from now. */
    void scheduleWithinRetryPause(long now) {
        scheduleNoLaterThan(now + jittered(retry));
    }

    private long leastPatience() {
        return longestPatience / LEAST_PATIENCE_PARTS;
    }

    private long jittered(Duration pause) {
        return (long) (pause.toNanos() * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
