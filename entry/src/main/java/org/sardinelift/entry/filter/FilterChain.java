package org.sardinelift.entry.filter;

import java.util.List;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.tinylog.Logger;

/** Filters in their order. */
public final class FilterChain {
    private final List<CallFilter> filters;

    private FilterChain(List<CallFilter> filters) {
        this.filters = filters;
    }

    /**
     * Makes a chain.
     *
     * @param filters filters, the first is passed first
     * @return the chain
     */
    public static FilterChain of(List<CallFilter> filters) {
        return new FilterChain(List.copyOf(filters));
    }

    /**
     * Takes a call through the filters until one answers it.
     *
     * @param call the call
     */
    public void run(CallContext call) {
        step(call, 0);
    }

    private void step(CallContext call, int index) {
        if (index == filters.size() || call.isAnswered()) {
            return;
        }
        try {
            filters.get(index).apply(call, () -> step(call, index + 1));
        } catch (RuntimeException e) {
            Logger.error(e, "Call {} failed in a filter; it was refused", call.requestId());
            call.refuse(Problem.notRun(ProblemKind.INTERNAL, "request id " + call.requestId()));
        }
    }
}
