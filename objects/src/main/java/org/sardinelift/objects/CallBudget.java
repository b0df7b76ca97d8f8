package org.sardinelift.objects;

/**
 * Limits on the calls that one instance makes to the platform.
 *
 * @param callsPerSecond calls per second; a waiting watch counts as a call
 * @param burst calls that may be made at once after a pause
 * @param maxQueued calls that may be queued; further calls are refused without being sent
 */
public record CallBudget(double callsPerSecond, int burst, int maxQueued) {

    private static final double DEFAULT_CALLS_PER_SECOND = 50;
    private static final int DEFAULT_BURST = 50;
    private static final int DEFAULT_MAX_QUEUED = 10_000;

    /**
     * Returns limits for a deployment of a few dozen entries.
     *
     * @return the default limits
     */
    public static CallBudget defaults() {
        return new CallBudget(DEFAULT_CALLS_PER_SECOND, DEFAULT_BURST, DEFAULT_MAX_QUEUED);
    }
}
