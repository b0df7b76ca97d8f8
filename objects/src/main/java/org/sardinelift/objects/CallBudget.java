package org.sardinelift.objects;

/**
 * What one instance may call of the platform.
 *
 * @param callsPerSecond calls a second, waiting watches included
 * @param burst calls at once
 * @param maxQueued calls that may wait; one more is refused as not sent
 */
public record CallBudget(double callsPerSecond, int burst, int maxQueued) {

    private static final double DEFAULT_CALLS_PER_SECOND = 50;
    private static final int DEFAULT_BURST = 50;
    private static final int DEFAULT_QUEUED = 10_000;

    /**
     * A budget that suits a few dozen entries.
     *
     * @return the default budget
     */
    public static CallBudget defaults() {
        return new CallBudget(DEFAULT_CALLS_PER_SECOND, DEFAULT_BURST, DEFAULT_QUEUED);
    }
}
