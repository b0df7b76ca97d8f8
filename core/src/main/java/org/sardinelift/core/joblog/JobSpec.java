package org.sardinelift.core.joblog;

import java.util.List;

/**
 * A batch job as it was accepted.
 *
 * @param id id of the job
 * @param team team that the job runs for
 * @param route route by which the job was submitted
 * @param host host named in the caller's request
 * @param submittedMs when the job was accepted, Unix milliseconds
 * @param items items of the job
 */
public record JobSpec(
        String id, String team, String route, String host, long submittedMs, List<JobItem> items) {

    /**
     * Sums the tokens of all items.
     *
     * @return number of tokens
     */
    public long tokens() {
        return items.stream().mapToLong(JobItem::tokens).sum();
    }
}
