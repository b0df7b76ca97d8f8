package org.sardinelift.core.load;

import java.time.Duration;

/**
 * Rate at which calls arrive, averaged with weights that decay exponentially. Times are nanoseconds
 * of a monotonic clock. Not thread-safe.
 */
public final class CallRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double windowSeconds;
    private double callsPerSecond;
    private long updatedAt;

    private CallRate(double windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    /**
     * Creates a rate of zero.
     *
     * @param window time after which a call's weight has decayed to 1/e
     * @return the rate
     */
    public static CallRate averagedOver(Duration window) {
        return new CallRate(window.toNanos() / NANOS_PER_SECOND);
    }

    /**
     * A call arrived.
     *
     * @param now the time
     */
    public void onCall(long now) {
        callsPerSecond = perSecond(now) + 1 / windowSeconds;
        updatedAt = now;
    }

    /**
     * Returns the rate.
     *
     * @param now the time
     * @return calls per second
     */
    public double perSecond(long now) {
        double seconds = (now - updatedAt) / NANOS_PER_SECOND;
        return callsPerSecond * Math.exp(-seconds / windowSeconds);
    }
}
