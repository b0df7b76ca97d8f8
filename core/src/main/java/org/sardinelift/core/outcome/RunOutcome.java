package org.sardinelift.core.outcome;

/** Whether a target has acted, or may have acted, on a call. */
public enum RunOutcome {
    /** The target certainly did not act on the call. It may be sent again, whatever its method. */
    NOT_RUN(true),
    /** The target acted on the call. */
    RUN(false),
    /** Unknown. Only an idempotent call may be sent again. */
    UNKNOWN(false);

    private final boolean isRepeatable;

    RunOutcome(boolean isRepeatable) {
        this.isRepeatable = isRepeatable;
    }

    /**
     * Returns whether the call may be sent again.
     *
     * @param isIdempotent whether running the call twice does no harm
     * @return true if a second attempt is allowed
     */
    public boolean mayRetry(boolean isIdempotent) {
        return isRepeatable || isIdempotent;
    }

    /**
     * Returns the outcome of a call over two of its attempts.
     *
     * @param other outcome of the other attempt
     * @return {@link #NOT_RUN} only if neither attempt can have run
     */
    public RunOutcome combine(RunOutcome other) {
        if (this == RUN || other == RUN) {
            return RUN;
        }
        return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
    }

    /**
     * Returns the name that callers see.
     *
     * @return {@code not_run}, {@code run} or {@code unknown}
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
