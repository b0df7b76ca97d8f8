package org.sardinelift.core.batch;

/**
 * Estimate of when a job ends, from the rate at which items ended since the job was claimed.
 *
 * @param startMs start of the count, epoch milliseconds
 * @param ended items ended since then
 */
public record CompletionEstimate(long startMs, int ended) {
    /** Shortest time from which a rate is computed, milliseconds. */
    private static final long MIN_SAMPLE_MS = 500;

    /**
     * Returns when the job is expected to end.
     *
     * @param nowMs current time, epoch milliseconds
     * @param open items that have not ended
     * @return epoch milliseconds, 0 while the rate is unknown
     */
    public long expectedEndMs(long nowMs, int open) {
        long elapsed = nowMs - startMs;
        if (ended == 0 || elapsed < MIN_SAMPLE_MS) {
            return 0;
        }
        return nowMs + Math.round((double) elapsed / ended * open);
    }

    /**
     * Adds ended items.
     *
     * @param more number of items
     * @return the next estimate
     */
    public CompletionEstimate plusEnded(int more) {
        return new CompletionEstimate(startMs, ended + more);
    }
}
