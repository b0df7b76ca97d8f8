package org.sardinelift.core.order;

/**
 * An order under way. If it was sent several times, only the result with its newest number counts.
 */
record PendingOrder(long number, long startedNanos, State state, long retryAtNanos, String detail) {

    /** What is known of the order. */
    enum State {
        /** The order was sent. */
        SENT,
        /** The order did not reach the target; it is sent again later. */
        RETRY,
        /** The target executed the order. */
        ACCEPTED,
        /** The target refused the order. */
        REFUSED
    }

    PendingOrder withState(State next, String why) {
        return new PendingOrder(number, startedNanos, next, retryAtNanos, why);
    }

    PendingOrder retryAt(long atNanos, String why) {
        return new PendingOrder(number, startedNanos, State.RETRY, atNanos, why);
    }
}
