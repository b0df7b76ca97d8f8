package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sardinelift.core.route.Rendezvous;

/**
 * Decides which worker runs a job. Workers report the jobs that they run; a job that no live worker
 * reports goes to the worker with the highest rendezvous weight. Two workers that run the same job
 * waste work but can't give an item two results, so no lease is needed. Not thread-safe.
 */
public final class JobAssignment {
    private final String self;
    private final long graceNanos;
    private final Map<String, Long> unclaimedSince = new HashMap<>();

    private JobAssignment(String self, Duration grace) {
        this.self = self;
        this.graceNanos = grace.toNanos();
    }

    /**
     * Creates the assignment of one worker.
     *
     * @param self name of the worker
     * @param grace time to wait for a report of another worker that runs the job
     * @return the assignment
     */
    public static JobAssignment of(String self, Duration grace) {
        return new JobAssignment(self, grace);
    }

    /**
     * Whether a job is assigned to this worker.
     *
     * @param job name of the job
     * @param isRunning whether this worker runs the job now
     * @param claims for each other live worker, whether it reports that it runs the job
     * @param now current time, monotonic, nanoseconds
     * @return true if this worker is to run it from now on
     */
    public boolean isAssignedHere(
            String job, boolean isRunning, Map<String, Boolean> claims, long now) {
        boolean isClaimed = claims.containsValue(true);
        if (isClaimed) {
            unclaimedSince.remove(job);
            return isRunning && claims.entrySet().stream().noneMatch(other -> yieldsTo(job, other));
        }
        if (isRunning) {
            return true;
        }
        long since = unclaimedSince.computeIfAbsent(job, key -> now);
        return now - since >= graceNanos && hasHighestWeight(job, claims.keySet());
    }

    private boolean yieldsTo(String job, Map.Entry<String, Boolean> other) {
        return other.getValue()
                && Rendezvous.weight(job, other.getKey()) > Rendezvous.weight(job, self);
    }

    private boolean hasHighestWeight(String job, Set<String> others) {
        long own = Rendezvous.weight(job, self);
        return others.stream()
                .map(other -> Rendezvous.weight(job, other))
                .max(Comparator.naturalOrder())
                .map(highest -> own > highest)
                .orElse(true);
    }

    /**
     * Removes a job that is closed.
     *
     * @param job name of the job
     */
    public void remove(String job) {
        unclaimedSince.remove(job);
    }
}
