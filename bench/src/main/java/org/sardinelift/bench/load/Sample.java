package org.sardinelift.bench.load;

/**
 * Result of one request.
 *
 * @param arrival the request
 * @param status HTTP status, 0 if there was no answer
 * @param isComplete whether the complete answer arrived
 * @param firstTokenNanos time from the planned arrival to the first token
 * @param tokens tokens received
 */
public record Sample(
        Arrival arrival, int status, boolean isComplete, long firstTokenNanos, int tokens) {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    /**
     * Whether the request was served with a complete answer.
     *
     * @return true if it was
     */
    public boolean isServed() {
        return status == OK && isComplete;
    }

    /**
     * Whether the request was refused because the team was over its rate.
     *
     * @return true if it was
     */
    public boolean isRateLimited() {
        return status == TOO_MANY_REQUESTS;
    }
}
