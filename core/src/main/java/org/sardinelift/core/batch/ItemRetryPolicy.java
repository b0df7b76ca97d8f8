package org.sardinelift.core.batch;

import java.time.Duration;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

/**
 * Decides whether an item that failed is tried again.
 *
 * @param maxAttempts attempts that may count against an item
 * @param maxPostponements attempts that the fleet had no place for or gave up for other work
 * @param firstPause pause after the first attempt; doubles with each further one
 * @param maxBackoff longest pause
 */
public record ItemRetryPolicy(
        int maxAttempts, int maxPostponements, Duration initialBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 20;

    /** What happens to an item. */
    public sealed interface Decision {
        /**
         * The item is tried again.
         *
         * @param pause time to wait before
         * @param countsAsAttempt whether the attempt counts against the item
         */
        record Retry(Duration pause, boolean countsAsAttempt) implements Decision {}

        /**
         * The item ends.
         *
         * @param problem the reason
         */
        record Fail(Problem problem) implements Decision {}
    }

    /**
     * Decides on an item. An attempt that found no place, or gave its place up to online work, does
     * not count as a failure of the item.
     *
     * @param problem what was wrong with the attempt
     * @param idempotent whether running the call twice does no harm
     * @param attempts attempts that failed so far, this one included
     * @param postponements attempts postponed so far, this one included
     * @return what happens
     */
    public Decision decide(Problem problem, boolean idempotent, int attempts, int postponements) {
        if (!problem.outcome().mayRetry(idempotent)) {
            return new Decision.Fail(
                    problem.outcome() == RunOutcome.UNKNOWN ? notRepeated(problem) : problem);
        }
        return switch (problem.kind()) {
            case RATE_LIMITED, OVERLOADED, PREEMPTED, NO_TARGET, DRAINING, ISOLATED, CANCELLED ->
                    postponements < maxPostponements
                            ? new Decision.Retry(
                                    problem.retryAfter().orElse(pause(postponements)), false)
                            : new Decision.Fail(problem);
            case TARGET_FAILED,
                    OUTCOME_UNKNOWN,
                    DEADLINE_EXCEEDED,
                    PLATFORM_UNAVAILABLE,
                    INTERNAL ->
                    attempts < maxAttempts
                            ? new Decision.Retry(pause(attempts), true)
                            : new Decision.Fail(problem);
            default -> new Decision.Fail(problem);
        };
    }

    /**
     * The reason of an item whose call may have run and must not be repeated.
     *
     * @return the problem
     */
    public static Problem outcomeUnknown() {
        return Problem.failed(
                ProblemKind.OUTCOME_UNKNOWN,
                RunOutcome.UNKNOWN,
                "the holder was lost after the call may have started; outcome unknown,"
                        + " not repeated");
    }

    private static Problem notRepeated(Problem problem) {
        return Problem.failed(
                ProblemKind.OUTCOME_UNKNOWN,
                RunOutcome.UNKNOWN,
                problem.detail() + "; outcome unknown, not repeated");
    }

    private Duration pause(int attempts) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempts - 1));
        Duration pause = initialBackoff.multipliedBy(1L << doublings);
        return pause.compareTo(maxBackoff) < 0 ? pause : maxBackoff;
    }
}
