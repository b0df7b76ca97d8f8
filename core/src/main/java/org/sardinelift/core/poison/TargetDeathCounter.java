package org.sardinelift.core.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the targets that died while they ran a request, by a hash of the request. Several calls
 * are in flight when a target dies, and one of them may be the cause; only a request that was in
 * flight at several deaths is refused. Times are nanoseconds of a monotonic clock. Not safe for use
 * by several threads at once.
 */
public final class TargetDeathCounter {
    private final int deathsToRefuse;
    private final long retentionNanos;
    private final int maxRequests;
    private final Map<Long, Map<String, Long>> deaths = new LinkedHashMap<>();

    private TargetDeathCounter(int deathsToRefuse, Duration retention, int maxRequests) {
        this.deathsToRefuse = deathsToRefuse;
        this.retentionNanos = retention.toNanos();
        this.maxRequests = maxRequests;
    }

    /**
     * Creates an empty counter.
     *
     * @param deathsToRefuse number of deaths from which a request is refused
     * @param retention time for which a death counts
     * @param maxRequests maximum number of requests that are kept; beyond it the oldest are dropped
     * @return the counter
     */
    public static TargetDeathCounter create(
            int deathsToRefuse, Duration retention, int maxRequests) {
        return new TargetDeathCounter(deathsToRefuse, retention, maxRequests);
    }

    /**
     * Records that a target died while it ran a request.
     *
     * @param request hash of the request
     * @param target incarnation of the target that died
     * @param now current time
     * @return whether this death was not yet recorded
     */
    public boolean onTargetDeath(long request, String target, long now) {
        boolean isNew =
                deaths.computeIfAbsent(request, key -> new HashMap<>()).put(target, now) == null;
        Iterator<Long> oldest = deaths.keySet().iterator();
        while (deaths.size() > maxRequests) {
            oldest.next();
            oldest.remove();
        }
        return isNew;
    }

    /**
     * Whether a request is refused.
     *
     * @param request hash of the request
     * @param now current time
     * @return true if enough targets died while they ran it
     */
    public boolean isRefused(long request, long now) {
        Map<String, Long> deathTimes = deaths.get(request);
        if (deathTimes == null) {
            return false;
        }
        deathTimes.values().removeIf(diedAt -> now - diedAt >= retentionNanos);
        return deathTimes.size() >= deathsToRefuse;
    }
}
