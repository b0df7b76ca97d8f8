package org.sardinelift.entry.call;

/** Handle to cancel a call that was dispatched. */
public interface CallHandle {

    /**
     * Cancels the call and its attempt. The listener receives the problem {@code CANCELLED}, unless
     * the call has ended before.
     *
     * @param reason shown in the problem and in the recorded decision
     */
    void cancel(String reason);
}
