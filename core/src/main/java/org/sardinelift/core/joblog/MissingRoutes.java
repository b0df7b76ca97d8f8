package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs whose route is missing from the configuration. Their items are given up only once it has
 * been missing for some time, since a later version may bring it back. Times are nanoseconds of a
 * monotonic clock. Not thread-safe.
 */
public final class MissingRoutes {
    private final long timeoutNanos;
    private final Map<String, Long> missingSince = new HashMap<>();

    private MissingRoutes(Duration timeout) {
        this.timeoutNanos = timeout.toNanos();
    }

    /**
     * Creates the record of missing routes.
     *
     * @param timeout time without a route after which the items of a job are given up
     * @return the record, empty
     */
    public static MissingRoutes create(Duration timeout) {
        return new MissingRoutes(timeout);
    }

    /**
     * The route of a job was looked up and is missing.
     *
     * @param job name of the job
     * @param now the time
     * @return whether it has been missing for too long
     */
    public boolean onMissing(String job, long now) {
        return now - missingSince.computeIfAbsent(job, missing -> now) >= timeoutNanos;
    }

    /**
     * The route of a job was looked up and exists.
     *
     * @param job name of the job
     */
    public void onFound(String job) {
        missingSince.remove(job);
    }

    /**
     * Forgets all jobs but some.
     *
     * @param jobs names of the jobs to keep
     */
    public void retainJobs(Collection<String> jobs) {
        missingSince.keySet().retainAll(jobs);
    }

    /**
     * Number of jobs whose route is missing.
     *
     * @return number of jobs
     */
    public int size() {
        return missingSince.size();
    }
}
