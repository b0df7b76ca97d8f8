package org.sardinelift.gateway.call;

import java.util.Set;

/** What a complete response says of the run of its call or batch item. */
public enum ResponseKind {
    /** The target isn't the expected one, or its weights aren't; not run. */
    REJECTION,
    /** The target states that it didn't run the request. */
    REFUSAL,
    /** The status promises callers "not run", but the target doesn't state it; it may have run. */
    UNPROVEN_REFUSAL,
    /** Run, and complete if the body is. */
    SUCCESS,
    /** Run, and failed; counts against a batch item. */
    FAILED_RUN,
    /** The request can never succeed; ends a batch item. */
    IMPOSSIBLE,
    /** Passed on to callers; says nothing of a batch item, which is run again. */
    OTHER;

    private static final int MISDIRECTED = 421;
    private static final int UNPROCESSABLE = 422;
    private static final int INTERNAL_ERROR = 500;
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 429, 503);
    private static final int SUCCESS_CLASS = 2;
    private static final int STATUS_CLASS_SIZE = 100;

    /**
     * Tells responses apart by their heads.
     *
     * @param status HTTP status code
     * @param isNotRun whether the target states that it didn't run the request
     * @return the kind
     */
    static ResponseKind of(int status, boolean isNotRun) {
        if (status == MISDIRECTED) {
            return REJECTION;
        } else if (isNotRun) {
            return REFUSAL;
        } else if (PROMISES_NOT_RUN.contains(status)) {
            return UNPROVEN_REFUSAL;
        } else if (status / STATUS_CLASS_SIZE == SUCCESS_CLASS) {
            return SUCCESS;
        } else if (status == INTERNAL_ERROR) {
            return FAILED_RUN;
        }
        return status == UNPROCESSABLE ? IMPOSSIBLE : OTHER;
    }
}
