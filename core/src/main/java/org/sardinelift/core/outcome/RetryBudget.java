package org.sardinelift.core.outcome;

/**
 * Retries of one team as a share of its first attempts, so that failing targets never meet a storm
 * of retries. Not safe for use by several threads at once.
 */
public final class RetryBudget {
    private final double share;
    private final double most;
    private double tokens;

    private RetryBudget(double share, double most) {
        this.share = share;
        this.most = most;
        this.tokens = most;
    }

    /**
     * A full budget.
     *
     * @param share retries that each first attempt earns, 0 to 1
     * @param most retries that can be saved up
     * @return the budget of one team
     */
    public static RetryBudget of(double share, double most) {
        return new RetryBudget(share, most);
    }

    /** A call's first attempt was made. */
    public void onFirstAttempt() {
        tokens = Math.min(most, tokens + share);
    }

    /**
     * Takes one retry.
     *
     * @return false where the budget is spent
     */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
