package org.sardinelift.entry.filter;

import java.util.List;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.tinylog.Logger;

/** Runs calls through a sequence of filters. */
public final class FilterChain {
    private final List<CallFilter> filters;

    private FilterChain(List<CallFilter> filters) {
        this.filters = filters;
    }

    /**
     * Creates a chain.
     *
     * @param filters filters in the order in which calls pass them
     * @return the chain
     */
    public static FilterChain of(List<CallFilter> filters) {
        return new FilterChain(List.copyOf(filters));
    }

    /**
     * Runs a call through the filters until one of them answers it.
     *
     * @param call the call
     */
    public void run(CallContext call) {
        applyFrom(call, 0);
    }

    private void applyFrom(CallContext call, int index) {
        if (index == filters.size() || call.isAnswered()) {
            return;
        }
        try {
            filters.get(index).apply(call, () -> applyFrom(call, index + 1));
        } catch (RuntimeException e) {
            Logger.error(e, "A filter failed; call {} was refused", call.requestId());
            call.refuse(Problem.notRun(ProblemKind.INTERNAL, "request id " + call.requestId()));
        }
    }
}
