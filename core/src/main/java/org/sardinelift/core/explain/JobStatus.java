package org.sardinelift.core.explain;

/**
 * A job that an entry holds, against its deadline.
 *
 * @param id the job
 * @param team its team
 * @param takenOverFrom entry that was lost with the job, empty for none
 * @param items items accepted
 * @param open items that have not ended
 * @param dueMs deadline, epoch milliseconds, the largest number for none
 * @param expectedEndMs expected end, epoch milliseconds, 0 while it is unknown
 * @param late whether the job is overdue or expected to be
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
     * The same job a while later.
     *
     * @param nowOpen items that have not ended
     * @param endMs expected end, epoch milliseconds, 0 while it is unknown
     * @param nowMs the time, epoch milliseconds
     * @return the status then
     */
    public JobStatus withProgress(int nowOpen, long endMs, long nowMs) {
        boolean nowLate = dueMs != Long.MAX_VALUE && Math.max(nowMs, endMs) > dueMs;
        return new JobStatus(id, team, takenOverFrom, items, nowOpen, dueMs, endMs, nowLate);
    }
}
