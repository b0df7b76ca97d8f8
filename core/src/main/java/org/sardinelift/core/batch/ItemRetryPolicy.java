package org.sardinelift.core.batch;

import java.time.Duration;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

/**
 * Decides whether an item whose attempt failed is retried.
 *
 * @param maxAttempts most failed attempts that count against an item
 * @param maxPostponements most attempts that found no free slot or were preempted
 * @param initialBackoff pause after the first attempt; doubles with each further one
 * @param maxBackoff upper bound of the pause
 */
public record ItemRetryPolicy(
        int maxAttempts, int maxPostponements, Duration initialBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 20;

    /** Decision on an item whose attempt failed. */
    public sealed interface Decision {
        /**
         * The item is retried.
         *
         * @param pause time to wait before the next attempt
         * @param countsAsAttempt whether the attempt counts against the item
         */
        record Retry(Duration pause, boolean countsAsAttempt) implements Decision {}

        /**
         * The item has failed for good.
         *
         * @param problem reason to report
         */
        record Fail(Problem problem) implements Decision {}
    }

    /**
     * Decides on an item. An attempt that found no free slot, or lost its slot to online work, does
     * not count as a failure of the item.
     *
     * @param problem why the attempt failed
     * @param isIdempotent whether the call may safely run twice
     * @param attempts attempts that failed so far, this one included
     * @param postponements attempts postponed so far, this one included
     * @return the decision
     */
    public Decision decide(Problem problem, boolean isIdempotent, int attempts, int postponements) {
        if (!problem.outcome().mayRetry(isIdempotent)) {
            return new Decision.Fail(
                    problem.outcome() == RunOutcome.UNKNOWN ? asNotRepeated(problem) : problem);
        }
        return switch (problem.kind()) {
            case RATE_LIMITED, OVERLOADED, PREEMPTED, NO_TARGET, DRAINING, ISOLATED, CANCELLED ->
                    postponements < maxPostponements
                            ? new Decision.Retry(
                                    problem.retryAfter().orElse(backoff(postponements)), false)
                            : new Decision.Fail(problem);
            case TARGET_FAILED,
                    OUTCOME_UNKNOWN,
                    DEADLINE_EXCEEDED,
                    PLATFORM_UNAVAILABLE,
                    INTERNAL ->
                    attempts < maxAttempts
                            ? new Decision.Retry(backoff(attempts), true)
                            : new Decision.Fail(problem);
            default -> new Decision.Fail(problem);
        };
    }

    /**
     * Returns the problem of an item whose call may have run and must not be repeated.
     *
     * @return the problem
     */
    public static Problem outcomeUnknown() {
        return Problem.failed(
                ProblemKind.OUTCOME_UNKNOWN,
                RunOutcome.UNKNOWN,
                "the entry running the job was lost after the call may have started;"
                        + " outcome unknown, not repeated");
    }

    private static Problem asNotRepeated(Problem problem) {
        return Problem.failed(
                ProblemKind.OUTCOME_UNKNOWN,
                RunOutcome.UNKNOWN,
                problem.detail() + "; outcome unknown, not repeated");
    }

    private Duration backoff(int attempts) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempts - 1));
        Duration pause = initialBackoff.multipliedBy(1L << doublings);
        return pause.compareTo(maxBackoff) < 0 ? pause : maxBackoff;
    }
}
