package org.sardinelift.core.plan;

/** Whether the calls of a route may run more than once. */
public enum CallKind {
    /** A second run does no harm. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean isResumable) {
            return true;
        }
    },
    /** Runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean isResumable) {
            return false;
        }
    },
    /** Answered by a stream of events; may run again if a target can resume it after an event. */
    STREAM {
        @Override
        public boolean mayRepeat(boolean isResumable) {
            return isResumable;
        }
    },
    /** Submits a batch job; a repeated submission finds the first job by its name. */
    BATCH {
        @Override
        public boolean mayRepeat(boolean isResumable) {
            return true;
        }
    };

    /**
     * Returns whether a call that may have run may be sent again.
     *
     * @param isResumable whether targets can resume a stream after an event
     * @return true if a second run does no harm
     */
    public abstract boolean mayRepeat(boolean isResumable);
}
