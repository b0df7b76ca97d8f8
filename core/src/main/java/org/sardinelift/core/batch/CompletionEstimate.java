package org.sardinelift.core.batch;

/**
 * Estimates when a job ends, from the pace since its claim.
 *
 * @param sinceMs epoch milliseconds from which items are counted
 * @param ended items ended since then
 */
public record CompletionEstimate(long startMs, int ended) {
    /** Shortest time over which a pace is taken, milliseconds. */
    private static final long MIN_SAMPLE_MS = 500;

    /**
     * When the job is expected to end.
     *
     * @param nowMs epoch milliseconds
     * @param open items that have not ended
     * @return epoch milliseconds, 0 while the pace is unknown
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
     * @param more their number
     * @return the next estimate
     */
    public CompletionEstimate plusEnded(int more) {
        return new CompletionEstimate(startMs, ended + more);
    }
}
