package org.sardinelift.entry.filter;

import java.util.Map;
import java.util.function.DoubleSupplier;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.explain.TeamRequestCounter;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.TeamLimiter;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;

/** Counts the call against its team's rate and burst, and refuses it above them. */
public final class LimitFilter implements CallFilter {
    private final TeamLimiter limiter;
    private final DoubleSupplier share;
    private final DecisionRecorder decisions;
    private final TeamRequestCounter counter;

    private LimitFilter(
            TeamLimiter limiter,
            DoubleSupplier share,
            DecisionRecorder decisions,
            TeamRequestCounter counter) {
        this.limiter = limiter;
        this.share = share;
        this.decisions = decisions;
        this.counter = counter;
    }

    /**
     * Creates the filter.
     *
     * @param limiter enforces the limits over all instances
     * @param share share of all rates and bursts that this entry may use on its own, 0 to 1
     * @param decisions records the admitted requests
     * @param counter counts them by team
     * @return the filter
     */
    public static LimitFilter of(
            TeamLimiter limiter,
            DoubleSupplier share,
            DecisionRecorder decisions,
            TeamRequestCounter counter) {
        return new LimitFilter(limiter, share, decisions, counter);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        limiter.admit(
                call.team(),
                admission -> {
                    Map<String, String> figures = figures(call.team());
                    if (admission instanceof Admission.Refused refused) {
                        call.figures(figures);
                        call.refuse(refusal(call.team(), refused));
                    } else {
                        recordAdmission(call, figures);
                        next.run();
                    }
                });
    }

    /**
     * Returns the problem for a caller over its team's rate.
     *
     * @param team the team
     * @param refused decision of the limiter
     * @return the problem, with the time after which to retry
     */
    public static Problem refusal(TeamPlan team, Admission.Refused refused) {
        return Problem.notRun(
                ProblemKind.RATE_LIMITED,
                "team " + team.name() + " is over its rate",
                refused.retryAfter());
    }

    private void recordAdmission(CallContext call, Map<String, String> figures) {
        decisions.record(
                DecisionAction.ADMITTED, call.requestId(), "within the team's rate", figures);
        counter.onAdmitted(call.team().name(), System.nanoTime());
    }

    private Map<String, String> figures(TeamPlan team) {
        return Map.of(
                "team", team.name(),
                "ratePerSecond", String.valueOf(team.ratePerSecond()),
                "burst", String.valueOf(team.burst()),
                "shareOfEntry", String.valueOf(share.getAsDouble()));
    }
}
