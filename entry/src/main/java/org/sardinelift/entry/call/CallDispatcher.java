package org.sardinelift.entry.call;

/** Routes calls to targets and handles retries, lost connections and deaths of targets. */
public interface CallDispatcher {

    /**
     * Starts a call.
     *
     * @param spec the call
     * @param listener receives the answer, on one thread at a time
     * @return handle to cancel the call
     */
    CallHandle dispatch(CallSpec spec, CallListener listener);

    /**
     * Returns how many batch calls the targets of a service would start at once.
     *
     * @param service service name
     * @param model model or adapter, empty for any
     * @return free batch slots as last reported, minus batch calls sent since
     */
    int freeBatchSlots(String service, String model);
}
