package org.sardinelift.core.order;

import java.time.Duration;

/**
 * Spaces loads evenly, to keep within the rate limit of the weight store. The first load waits as
 * well, since another controller may have started one just before.
 */
public final class LoadPacer {
    private final long intervalNanos;
    private long nextNanos;

    private LoadPacer(long intervalNanos, long nowNanos) {
        this.intervalNanos = intervalNanos;
        this.nextNanos = nowNanos + intervalNanos;
    }

    /**
     * Creates a pacer.
     *
     * @param loadsPerMinute loads allowed in a minute
     * @param nowNanos current time, monotonic
     * @return the pacer
     */
    public static LoadPacer of(int loadsPerMinute, long nowNanos) {
        return new LoadPacer(Duration.ofMinutes(1).toNanos() / loadsPerMinute, nowNanos);
    }

    /**
     * Acquires the permission to start one load.
     *
     * @param nowNanos current time, monotonic
     * @return false if it is too early
     */
    public boolean tryAcquire(long nowNanos) {
        if (nowNanos - nextNanos < 0) {
            return false;
        }
        nextNanos = nowNanos + intervalNanos;
        return true;
    }
}
