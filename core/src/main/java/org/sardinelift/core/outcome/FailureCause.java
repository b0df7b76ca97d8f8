package org.sardinelift.core.outcome;

import java.util.Arrays;

/** Why an attempt ended without the target's own answer. */
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

    FailureCause(ProblemKind kind, boolean blamesTarget) {
        this.problemKind = kind;
        this.isTargetFault = blamesTarget;
    }

    /**
     * Finds a cause by the name used between processes.
     *
     * @param name name of the cause
     * @return the cause; {@link #CONNECTION_LOST} for a name that this version does not know
     */
    public static FailureCause fromName(String name) {
        return Arrays.stream(values())
                .filter(cause -> cause.name().equals(name))
                .findFirst()
                .orElse(CONNECTION_LOST);
    }

    /**
     * Whether the cause speaks against the health of the target.
     *
     * @return true where it counts towards leaving the target out
     */
    public boolean isTargetFault() {
        return isTargetFault;
    }

    /**
     * The kind of problem that the caller gets.
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
