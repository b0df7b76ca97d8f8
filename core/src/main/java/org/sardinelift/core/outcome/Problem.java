package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Optional;

/**
 * A refusal or failure as reported to the caller.
 *
 * @param kind kind of the problem
 * @param outcome whether the call was run
 * @param detail description of this case; never contains a key
 * @param retryAfter time after which to retry, if that makes sense
 */
public record Problem(
        ProblemKind kind, RunOutcome outcome, String detail, Optional<Duration> retryAfter) {

    /**
     * Creates the refusal of a call that was not run.
     *
     * @param kind kind of the problem
     * @param detail description of this case
     * @return the problem
     */
    public static Problem notRun(ProblemKind kind, String detail) {
        return new Problem(kind, RunOutcome.NOT_RUN, detail, Optional.empty());
    }

    /**
     * Creates the refusal of a call that was not run, with a time to retry.
     *
     * @param kind kind of the problem
     * @param detail description of this case
     * @param retryAfter time after which to retry; zero for none
     * @return the problem
     */
    public static Problem notRun(ProblemKind kind, String detail, Duration retryAfter) {
        Optional<Duration> pause = Optional.of(retryAfter).filter(after -> !after.isZero());
        return new Problem(kind, RunOutcome.NOT_RUN, detail, pause);
    }

    /**
     * Creates the failure of a call that was or may have been run.
     *
     * @param kind kind of the problem
     * @param outcome whether the call was run
     * @param detail description of this case
     * @return the problem
     */
    public static Problem failed(ProblemKind kind, RunOutcome outcome, String detail) {
        return new Problem(kind, outcome, detail, Optional.empty());
    }
}
