package org.sardinelift.core.order;

import java.time.Duration;

/**
 * Keeps to the weight store's rate by even spacing. The first load waits one space too, since
 * another controller may have begun one just before.
 */
public final class LoadPacer {
    private final long spaceNanos;
    private long nextNanos;

    private LoadPacer(long spaceNanos, long nowNanos) {
        this.spaceNanos = spaceNanos;
        this.nextNanos = nowNanos + spaceNanos;
    }

    /**
     * Makes a pacer.
     *
     * @param loadsPerMinute loads allowed in a minute
     * @param nowNanos time
     * @return the pacer
     */
    public static LoadPacer of(int loadsPerMinute, long nowNanos) {
        return new LoadPacer(Duration.ofMinutes(1).toNanos() / loadsPerMinute, nowNanos);
    }

    /**
     * Takes the right to begin one load.
     *
     * @param nowNanos time
     * @return false where it is too early
     */
    public boolean tryAcquire(long nowNanos) {
        if (nowNanos - nextNanos < 0) {
            return false;
        }
        nextNanos = nowNanos + spaceNanos;
        return true;
    }
}
