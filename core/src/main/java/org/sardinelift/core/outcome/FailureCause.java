package org.sardinelift.core.outcome;

import java.util.Arrays;

/** Why an attempt ended without an answer of the target. */
public enum FailureCause {
    NONE(ProblemKind.INTERNAL, false),
    QUEUE_FULL(ProblemKind.OVERLOADED, false),
    DEADLINE_EXCEEDED(ProblemKind.DEADLINE_EXCEEDED, false),
    TARGET_LEAVING(ProblemKind.NO_TARGET, false),
    TARGET_UNREACHABLE(ProblemKind.TARGET_FAILED, true),
    TARGET_DIED(ProblemKind.TARGET_FAILED, true),
    CANCELLED(ProblemKind.CANCELLED, false),
    PREEMPTED(ProblemKind.PREEMPTED, false),
    BUFFER_EXCEEDED(ProblemKind.TARGET_FAILED, false),
    STALE_FENCE(ProblemKind.CONFLICT, false),
    MODEL_NOT_LOADED(ProblemKind.NO_TARGET, false),
    CONNECTION_LOST(ProblemKind.TARGET_FAILED, true);

    private final ProblemKind problemKind;
    private final boolean isTargetFault;

    FailureCause(ProblemKind kind, boolean isTargetFault) {
        this.problemKind = kind;
        this.isTargetFault = isTargetFault;
    }

    /**
     * Returns the cause with a name received from another process.
     *
     * @param name name of the cause
     * @return the cause; {@link #CONNECTION_LOST} for a name unknown to this version
     */
    public static FailureCause fromName(String name) {
        return Arrays.stream(values())
                .filter(cause -> cause.name().equals(name))
                .findFirst()
                .orElse(CONNECTION_LOST);
    }

    /**
     * Returns whether the cause indicates a fault of the target.
     *
     * @return true if it counts towards the ejection of the target
     */
    public boolean isTargetFault() {
        return isTargetFault;
    }

    /**
     * Returns the kind of problem reported to the caller.
     *
     * @param outcome whether the call was run
     * @return the kind
     */
    public ProblemKind problemKind(RunOutcome outcome) {
        if (this == PREEMPTED) {
            return problemKind;
        }
        if (outcome == RunOutcome.NOT_RUN && problemKind == ProblemKind.TARGET_FAILED) {
            return ProblemKind.NO_TARGET;
        }
        if (outcome == RunOutcome.UNKNOWN && problemKind != ProblemKind.DEADLINE_EXCEEDED) {
            return this == CANCELLED ? problemKind : ProblemKind.OUTCOME_UNKNOWN;
        }
        return problemKind;
    }
}
