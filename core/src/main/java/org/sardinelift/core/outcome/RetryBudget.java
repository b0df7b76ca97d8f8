package org.sardinelift.core.outcome;

/**
 * Limits the retries of one team to a fraction of its first attempts, so that failing targets do
 * not receive a storm of retries. Not thread-safe.
 */
public final class RetryBudget {
    private final double retriesPerAttempt;
    private final double maxTokens;
    private double tokens;

    private RetryBudget(double retriesPerAttempt, double maxTokens) {
        this.retriesPerAttempt = retriesPerAttempt;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /**
     * Creates a full budget.
     *
     * @param retriesPerAttempt retries added by each first attempt, 0 to 1
     * @param maxTokens maximum number of retries in the budget
     * @return the budget of one team
     */
    public static RetryBudget of(double retriesPerAttempt, double maxTokens) {
        return new RetryBudget(retriesPerAttempt, maxTokens);
    }

    /** A call's first attempt was made. */
    public void onFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + retriesPerAttempt);
    }

    /**
     * Acquires one retry.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
