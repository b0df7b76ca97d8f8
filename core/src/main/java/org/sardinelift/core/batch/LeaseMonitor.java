package org.sardinelift.core.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Judges other entries' leases by this entry's own monotonic clock: a lease lapses when its object
 * has not changed for the timeout. Time in which the platform could not be watched counts for
 * nobody, so that an outage makes no lease lapse.
 */
public final class LeaseMonitor {
    private final long timeoutNanos;
    private final Map<String, Seen> leases = new HashMap<>();
    private long watchedSinceNanos;
    private long watchedUntilNanos;
    private boolean watching;

    private LeaseMonitor(Duration timeout) {
        timeoutNanos = timeout.toNanos();
    }

    /**
     * Makes a watch that has seen nothing.
     *
     * @param timeout time without a change after which a lease has lapsed
     * @return the watch
     */
    public static LeaseMonitor of(Duration timeout) {
        return new LeaseMonitor(timeout);
    }

    /**
     * Notes a state of a lease object.
     *
     * @param instance instance that the lease belongs to
     * @param incarnation incarnation that wrote it
     * @param version version of the object
     * @param nowNanos time
     */
    public void onChanged(String instance, String incarnation, long version, long nowNanos) {
        Seen seen = leases.get(instance);
        if (seen == null || seen.version() < version) {
            leases.put(instance, new Seen(incarnation, version, nowNanos));
        }
    }

    /**
     * Notes that a lease was given back.
     *
     * @param instance instance that the lease belonged to
     */
    public void onRemoved(String instance) {
        leases.remove(instance);
    }

    /**
     * Notes that the platform answered a watch. A pause longer than the timeout since the last
     * answer starts the time of every lease anew.
     *
     * @param nowNanos time
     */
    public void onWatchAnswered(long nowNanos) {
        if (!watching || nowNanos - watchedUntilNanos > timeoutNanos) {
            watchedSinceNanos = nowNanos;
        }
        watching = true;
        watchedUntilNanos = nowNanos;
    }

    /** Notes that the platform did not answer a watch. */
    public void onWatchFailed() {
        watching = false;
    }

    /**
     * Whether an entry certainly cannot count on its lease any more.
     *
     * @param holder entry that held a job
     * @param nowNanos time
     * @return true where the lease lapsed, is gone or belongs to another incarnation
     */
    public boolean hasLapsed(Holder holder, long nowNanos) {
        if (!watching || nowNanos - watchedUntilNanos > timeoutNanos) {
            return false;
        }
        Seen seen = leases.get(holder.instance());
        if (seen == null) {
            return nowNanos - watchedSinceNanos > timeoutNanos;
        }
        return !seen.incarnation().equals(holder.incarnation()) || stale(seen, nowNanos);
    }

    /**
     * Entries with a lease that has not lapsed.
     *
     * @param nowNanos time
     * @return their instance names
     */
    public List<String> liveInstances(long nowNanos) {
        return leases.entrySet().stream()
                .filter(lease -> !stale(lease.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * The incarnation that last wrote a lease.
     *
     * @param instance instance name
     * @return the incarnation, or empty where no lease is known
     */
    public Optional<String> incarnationOf(String instance) {
        return Optional.ofNullable(leases.get(instance)).map(Seen::incarnation);
    }

    private boolean stale(Seen seen, long nowNanos) {
        long since = Math.max(seen.atNanos(), watchedSinceNanos);
        return nowNanos - since > timeoutNanos;
    }

    private record Seen(String incarnation, long version, long atNanos) {}
}
