package org.sardinelift.entry.filter;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.explain.TeamRequestCounter;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.entry.call.CallListener;

/** Records and counts the requests that are refused before they are dispatched. */
public final class RefusalRecordingFilter implements CallFilter {
    private final DecisionRecorder decisions;
    private final TeamRequestCounter tally;

    private RefusalRecordingFilter(DecisionRecorder decisions, TeamRequestCounter tally) {
        this.decisions = decisions;
        this.tally = tally;
    }

    /**
     * Makes the filter.
     *
     * @param decisions notes the refusals
     * @param tally counts them by team
     * @return the filter
     */
    public static RefusalRecordingFilter of(DecisionRecorder decisions, TeamRequestCounter tally) {
        return new RefusalRecordingFilter(decisions, tally);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        call.wrapListener(listener -> new RefusalListener(call, listener));
        next.run();
    }

    private void refused(CallContext call, Problem problem) {
        Map<String, String> figures = new HashMap<>(call.figures());
        figures.put("kind", problem.kind().label());
        call.teamName().ifPresent(team -> figures.put("team", team));
        call.keyId().ifPresent(id -> figures.put("keyId", id));
        problem.retryAfter()
                .ifPresent(after -> figures.put("retryAfterMs", String.valueOf(after.toMillis())));
        decisions.record(
                DecisionAction.REFUSED, call.requestId(), problem.detail(), Map.copyOf(figures));
        call.teamName().ifPresent(tally::onRefused);
    }

    /** Sees refusals; calls that were dispatched are recorded by the dispatcher. */
    private final class RefusalListener extends ForwardingListener {
        private final CallContext call;

        RefusalListener(CallContext call, CallListener next) {
            super(next);
            this.call = call;
        }

        @Override
        public void onProblem(Problem problem) {
            if (!call.isDispatched() && !call.isAnswered()) {
                refused(call, problem);
            }
            super.onProblem(problem);
        }
    }
}
