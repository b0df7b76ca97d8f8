package org.sardinelift.core.poison;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the targets that died while they ran a request, by a hash of the request. Several calls
 * are in flight when a target dies, and one of them may be to blame; only a request that was there
 * at several deaths is refused. Times are nanoseconds of a monotonic clock. Not safe for use by
 * several threads at once.
 */
public final class TargetDeathCounter {
    private final int deathsToRefuse;
    private final long memoryNanos;
    private final int maxRequests;
    private final Map<Long, Map<String, Long>> deaths = new LinkedHashMap<>();

    private TargetDeathCounter(int deathsToRefuse, Duration memory, int maxRequests) {
        this.deathsToRefuse = deathsToRefuse;
        this.memoryNanos = memory.toNanos();
        this.maxRequests = maxRequests;
    }

    /**
     * An empty tally.
     *
     * @param deathsToRefuse deaths from which a request is refused
     * @param memory time for which a death counts
     * @param maxRequests requests remembered; past that the oldest are forgotten
     * @return the tally
     */
    public static TargetDeathCounter create(int deathsToRefuse, Duration memory, int maxRequests) {
        return new TargetDeathCounter(deathsToRefuse, memory, maxRequests);
    }

    /**
     * A target died while it ran a request.
     *
     * @param request hash of the request
     * @param target life of the target that ended
     * @param now the time
     * @return whether this was not known
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
     * @param now the time
     * @return true where enough targets died with it
     */
    public boolean isRefused(long request, long now) {
        Map<String, Long> seen = deaths.get(request);
        if (seen == null) {
            return false;
        }
        seen.values().removeIf(at -> now - at >= memoryNanos);
        return seen.size() >= deathsToRefuse;
    }
}
