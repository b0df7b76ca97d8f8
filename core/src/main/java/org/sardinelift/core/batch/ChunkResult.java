package org.sardinelift.core.batch;

/**
 * Where the results of one chunk are, and how its items ended.
 *
 * @param mark unique mark of the attempt that wrote them
 * @param parts number of result objects
 * @param completed items with a result
 * @param failed items that ended with a reason instead
 * @param cancelled items that a cancel ended
 */
public record ChunkResult(String writeId, int parts, int completed, int failed, int cancelled) {

    /**
     * Items that ended.
     *
     * @return their number
     */
    public int itemCount() {
        return completed + failed + cancelled;
    }
}
