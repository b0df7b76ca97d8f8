package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.Optional;
import org.sardinelift.core.outcome.AttemptAction;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

/** Problems by which calls end; each says what holds over all attempts of the call. */
final class CallProblems {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private CallProblems() {}

    static Problem of(AttemptAction.Failed last, RunOutcome overall) {
        Duration after = last.retryAfter().isZero() ? COME_BACK : last.retryAfter();
        return of(last.cause().problemKind(overall), overall, last.detail(), after);
    }

    static Problem noTarget(String service, RunOutcome overall) {
        return of(
                ProblemKind.NO_TARGET,
                overall,
                "no target of " + service + " can take the call now",
                COME_BACK);
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
        ProblemKind truthful =
                kind == ProblemKind.NO_TARGET || kind == ProblemKind.OVERLOADED
                        ? overall == RunOutcome.RUN
                                ? ProblemKind.TARGET_FAILED
                                : ProblemKind.OUTCOME_UNKNOWN
                        : kind;
        return Problem.failed(truthful, overall, detail);
    }
}
