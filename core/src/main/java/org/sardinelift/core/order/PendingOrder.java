package org.sardinelift.core.order;

/** An order under way: its newest number decides which result counts. */
record PendingOrder(long number, long startedNanos, State state, long retryAtNanos, String detail) {

    /** What is known of it. */
    enum State {
        /** It was sent. */
        SENT,
        /** It has not reached the target; it is sent again later. */
        RETRY,
        /** The target carried it out. */
        ACCEPTED,
        /** The target refused it. */
        REFUSED
    }

    PendingOrder withState(State next, String why) {
        return new PendingOrder(number, startedNanos, next, retryAtNanos, why);
    }

    PendingOrder retryAt(long atNanos, String why) {
        return new PendingOrder(number, startedNanos, State.RETRY, atNanos, why);
    }
}
