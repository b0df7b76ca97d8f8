package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sardinelift.core.route.Rendezvous;

/**
 * Which worker runs a job. Workers report the jobs that they run; a job that no live worker reports
 * goes to the one with the highest rendezvous weight. Two workers that run one job waste work but
 * can't give an item two results, so no lease is needed. Not safe for use by several threads at
 * once.
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
     * Makes the assignment of one worker.
     *
     * @param self its name
     * @param grace time for the report of another worker that runs a job to come
     * @return the assignment
     */
    public static JobAssignment of(String self, Duration grace) {
        return new JobAssignment(self, grace);
    }

    /**
     * Whether this worker runs a job.
     *
     * @param job name of the job
     * @param running whether it runs it now
     * @param claims live workers by whether they report to run the job; this one is not among them
     * @param now the time, nanoseconds
     * @return whether it is to run it from now on
     */
    public boolean isAssignedHere(
            String job, boolean running, Map<String, Boolean> claims, long now) {
        boolean claimed = claims.containsValue(true);
        if (claimed) {
            unclaimedSince.remove(job);
            return running && claims.entrySet().stream().noneMatch(other -> yieldsTo(job, other));
        }
        if (running) {
            return true;
        }
        long since = unclaimedSince.computeIfAbsent(job, key -> now);
        return now - since >= graceNanos && isFirst(job, claims.keySet());
    }

    private boolean yieldsTo(String job, Map.Entry<String, Boolean> other) {
        return other.getValue()
                && Rendezvous.weight(job, other.getKey()) > Rendezvous.weight(job, self);
    }

    private boolean isFirst(String job, Set<String> others) {
        long own = Rendezvous.weight(job, self);
        return others.stream()
                .map(other -> Rendezvous.weight(job, other))
                .max(Comparator.naturalOrder())
                .map(highest -> own > highest)
                .orElse(true);
    }

    /**
     * Forgets a job that is closed.
     *
     * @param job name of the job
     */
    public void forget(String job) {
        unclaimedSince.remove(job);
    }
}
