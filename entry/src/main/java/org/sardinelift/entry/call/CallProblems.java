package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.Optional;
import org.sardinelift.core.outcome.AttemptAction;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

/** Creates the problems with which calls end; their outcome is that of all attempts together. */
final class CallProblems {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private CallProblems() {}

    static Problem of(AttemptAction.Failed last, RunOutcome overall) {
        Duration retryAfter = last.retryAfter().isZero() ? DEFAULT_RETRY_AFTER : last.retryAfter();
        return of(last.cause().problemKind(overall), overall, last.detail(), retryAfter);
    }

    static Problem noTarget(String service, RunOutcome overall) {
        return of(
                ProblemKind.NO_TARGET,
                overall,
                "no target of service " + service + " can run the call now",
                DEFAULT_RETRY_AFTER);
    }

    static Problem crashesTargets(RunOutcome overall) {
        return new Problem(
                ProblemKind.CRASHES_TARGETS,
                overall,
                "targets died with this request in flight",
                Optional.empty());
    }

    static Problem of(ProblemKind kind, RunOutcome overall, String detail, Duration retryAfter) {
        if (overall == RunOutcome.NOT_RUN) {
            return Problem.notRun(kind, detail, retryAfter);
        }
        // NO_TARGET and OVERLOADED would claim that the call has not run.
        ProblemKind reportedKind =
                kind == ProblemKind.NO_TARGET || kind == ProblemKind.OVERLOADED
                        ? overall == RunOutcome.RUN
                                ? ProblemKind.TARGET_FAILED
                                : ProblemKind.OUTCOME_UNKNOWN
                        : kind;
        return Problem.failed(reportedKind, overall, detail);
    }
}
