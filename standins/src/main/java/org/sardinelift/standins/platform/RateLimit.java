package org.sardinelift.standins.platform;

/** Token bucket that limits calls per second; a limit of 0 admits all. */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int perSecond;
    private double tokens;
    private long refilledNanos = System.nanoTime();

    RateLimit(int perSecond) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
    }

    synchronized boolean tryAcquire() {
        if (perSecond == 0) {
            return true;
        }
        long now = System.nanoTime();
        double refill = (now - refilledNanos) / NANOS_PER_SECOND * perSecond;
        tokens = Math.min(perSecond, tokens + refill);
        refilledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
