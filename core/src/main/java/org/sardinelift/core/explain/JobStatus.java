package org.sardinelift.core.explain;

/**
 * Progress of a job held by an entry, compared with its deadline.
 *
 * @param id id of the job
 * @param team team of the job
 * @param takenOverFrom entry that held the job and was lost, empty for none
 * @param items number of items accepted
 * @param openItems number of items that have not ended
 * @param dueMs deadline, epoch milliseconds, {@link Long#MAX_VALUE} for none
 * @param expectedEndMs expected end, epoch milliseconds, 0 while it is unknown
 * @param isLate whether the job is overdue or expected to be
 */
public record JobStatus(
        String id,
        String team,
        String takenOverFrom,
        int items,
        int openItems,
        long dueMs,
        long expectedEndMs,
        boolean isLate) {

    /**
     * Returns the status after some progress.
     *
     * @param nowOpen number of items that have not ended
     * @param endMs expected end, epoch milliseconds, 0 while it is unknown
     * @param nowMs current time, epoch milliseconds
     * @return the status at that time
     */
    public JobStatus withProgress(int nowOpen, long endMs, long nowMs) {
        boolean isNowLate = dueMs != Long.MAX_VALUE && Math.max(nowMs, endMs) > dueMs;
        return new JobStatus(id, team, takenOverFrom, items, nowOpen, dueMs, endMs, isNowLate);
    }
}
