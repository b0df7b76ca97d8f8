package org.sardinelift.core.limit;

/** A plain token bucket that starts full. */
final class TokenBucket {
    private static final double ROUNDING = 1e-6;
    private double level = Double.MAX_VALUE;
    private long filledAt;

    void refill(double rate, double capacity, long now) {
        level = Math.min(capacity, level + (now - filledAt) / 1e9 * rate);
        filledAt = now;
    }

    void empty(long now) {
        level = 0;
        filledAt = now;
    }

    boolean hasToken() {
        return level >= 1 - ROUNDING;
    }

    boolean tryAcquire() {
        boolean isAvailable = hasToken();
        level -= isAvailable ? 1 : 0;
        return isAvailable;
    }
}
