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
    private final TeamRequestCounter counter;

    private RefusalRecordingFilter(DecisionRecorder decisions, TeamRequestCounter counter) {
        this.decisions = decisions;
        this.counter = counter;
    }

    /**
     * Creates the filter.
     *
     * @param decisions records the refusals
     * @param counter counts them by team
     * @return the filter
     */
    public static RefusalRecordingFilter of(
            DecisionRecorder decisions, TeamRequestCounter counter) {
        return new RefusalRecordingFilter(decisions, counter);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        call.wrapListener(listener -> new RefusalListener(call, listener));
        next.run();
    }

    private void recordRefusal(CallContext call, Problem problem) {
        Map<String, String> figures = new HashMap<>(call.figures());
        figures.put("kind", problem.kind().label());
        call.teamName().ifPresent(team -> figures.put("team", team));
        call.keyId().ifPresent(id -> figures.put("keyId", id));
        problem.retryAfter()
                .ifPresent(
                        retryAfter ->
                                figures.put("retryAfterMs", String.valueOf(retryAfter.toMillis())));
        decisions.record(
                DecisionAction.REFUSED, call.requestId(), problem.detail(), Map.copyOf(figures));
        call.teamName().ifPresent(counter::onRefused);
    }

    /** Records refusals; the dispatcher records the end of calls that were dispatched. */
    private final class RefusalListener extends ForwardingListener {
        private final CallContext call;

        RefusalListener(CallContext call, CallListener next) {
            super(next);
            this.call = call;
        }

        @Override
        public void onProblem(Problem problem) {
            if (!call.isDispatched() && !call.isAnswered()) {
                recordRefusal(call, problem);
            }
            super.onProblem(problem);
        }
    }
}
