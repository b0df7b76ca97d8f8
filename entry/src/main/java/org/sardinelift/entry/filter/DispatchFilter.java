package org.sardinelift.entry.filter;

import org.sardinelift.entry.call.CallDispatcher;
import org.sardinelift.entry.call.CallHandle;

/** Dispatches the call, and cancels it when its caller disconnects, which frees the slot. */
public final class DispatchFilter implements CallFilter {
    private final CallDispatcher dispatcher;

    private DispatchFilter(CallDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Creates the filter.
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
        call.exchange().addCloseListener(() -> handle.cancel("the caller has disconnected"));
        if (call.isAnswered()) {
            handle.cancel("the call was ended while it was being dispatched");
        }
        next.run();
    }
}
