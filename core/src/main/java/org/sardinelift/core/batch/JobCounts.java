package org.sardinelift.core.batch;

/**
 * Counts of a job's items by outcome. Completed, failed, cancelled and open items always add up to
 * the items accepted.
 *
 * @param accepted items accepted
 * @param completed items with a result
 * @param failed items that ended with a problem instead of a result
 * @param cancelled items that were cancelled
 */
public record JobCounts(int accepted, int completed, int failed, int cancelled) {

    /**
     * Counts the items that have not ended.
     *
     * @return number of items
     */
    public int open() {
        return accepted - completed - failed - cancelled;
    }
}
