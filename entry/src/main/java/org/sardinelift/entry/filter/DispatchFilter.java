package org.sardinelift.entry.filter;

import org.sardinelift.entry.call.CallDispatcher;
import org.sardinelift.entry.call.CallHandle;

/** Hands the call to the dispatcher; a caller that goes away frees its target's slot at once. */
public final class DispatchFilter implements CallFilter {
    private final CallDispatcher dispatcher;

    private DispatchFilter(CallDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Makes the filter.
     *
     * @param dispatcher runs the calls
     * @return the filter
     */
    public static DispatchFilter of(CallDispatcher dispatcher) {
        return new DispatchFilter(dispatcher);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        if (!call.tryDispatch()) {
            return;
        }
        CallHandle handle = dispatcher.dispatch(call.spec(), call.listener());
        call.setHandle(handle);
        call.exchange().onClose(() -> handle.cancel("the caller has gone"));
        if (call.isAnswered()) {
            handle.cancel("the call was ended while it was dispatched");
        }
        next.run();
    }
}
