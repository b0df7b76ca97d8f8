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

/** Counts the call against the rate and burst of its team. */
public final class LimitFilter implements CallFilter {
    private final TeamLimiter limiter;
    private final DoubleSupplier share;
    private final DecisionRecorder decisions;
    private final TeamRequestCounter tally;

    private LimitFilter(
            TeamLimiter limiter,
            DoubleSupplier share,
            DecisionRecorder decisions,
            TeamRequestCounter tally) {
        this.limiter = limiter;
        this.share = share;
        this.decisions = decisions;
        this.tally = tally;
    }

    /**
     * Makes the filter.
     *
     * @param limiter counts over all instances together
     * @param share part of all rates and bursts that this entry may spend by itself, 0 to 1
     * @param decisions notes the requests that are let in
     * @param tally counts them by team
     * @return the filter
     */
    public static LimitFilter of(
            TeamLimiter limiter,
            DoubleSupplier share,
            DecisionRecorder decisions,
            TeamRequestCounter tally) {
        return new LimitFilter(limiter, share, decisions, tally);
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
                        admitted(call, figures);
                        next.run();
                    }
                });
    }

    /**
     * What a caller over its team's rate is told.
     *
     * @param team the team
     * @param refused the limiter's answer
     * @return the problem, which says when to come back
     */
    public static Problem refusal(TeamPlan team, Admission.Refused refused) {
        return Problem.notRun(
                ProblemKind.RATE_LIMITED,
                "team " + team.name() + " is over its rate",
                refused.retryAfter());
    }

    private void admitted(CallContext call, Map<String, String> figures) {
        decisions.record(
                DecisionAction.ADMITTED, call.requestId(), "within the team's rate", figures);
        tally.onAdmitted(call.team().name(), System.nanoTime());
    }

    private Map<String, String> figures(TeamPlan team) {
        return Map.of(
                "team", team.name(),
                "ratePerSecond", String.valueOf(team.ratePerSecond()),
                "burst", String.valueOf(team.burst()),
                "shareOfEntry", String.valueOf(share.getAsDouble()));
    }
}
