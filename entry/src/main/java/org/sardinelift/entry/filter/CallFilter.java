package org.sardinelift.entry.filter;

/** One step of the handling of a call before its dispatch. */
public interface CallFilter {

    /**
     * Passes the call to the next filter, now or later and on any thread, or answers it. Must not
     * block.
     *
     * @param call the call
     * @param next passes the call to the next filter; to be run at most once
     */
    void apply(CallContext call, Runnable next);
}
