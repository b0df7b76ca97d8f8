package org.sardinelift.core.batch;

/**
 * Location of the results of one chunk, and counts of how its items ended.
 *
 * @param writeId unique identifier of the write, part of the names of the result objects
 * @param parts number of result objects
 * @param completed items with a result
 * @param failed items that ended with a problem instead of a result
 * @param cancelled items that were cancelled
 */
public record ChunkResult(String writeId, int parts, int completed, int failed, int cancelled) {

    /**
     * Counts the items that ended.
     *
     * @return number of items
     */
    public int itemCount() {
        return completed + failed + cancelled;
    }
}
