package org.sardinelift.core.outcome;

/** Whether a call reached the point where its target may have acted on it. */
public enum RunOutcome {
    /** The target certainly never acted on the call: it may be sent again, whatever its method. */
    NOT_RUN(true),
    /** The target acted on the call. */
    RUN(false),
    /** Nobody can tell. Only an idempotent call may be sent again. */
    UNKNOWN(false);

    private final boolean repeatable;

    RunOutcome(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Whether the call may be sent again.
     *
     * @param idempotent whether running the call twice does no harm
     * @return true where a second attempt is allowed
     */
    public boolean mayRetry(boolean idempotent) {
        return repeatable || idempotent;
    }

    /**
     * The outcome of a call over two of its attempts.
     *
     * @param other outcome of the other attempt
     * @return {@link #NOT_RUN} only where neither attempt can have run
     */
    public RunOutcome combine(RunOutcome other) {
        if (this == RUN || other == RUN) {
            return RUN;
        }
        return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
    }

    /**
     * The name used towards callers.
     *
     * @return {@code not_run}, {@code run} or {@code unknown}
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
