package org.sardinelift.core.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Detects lapsed leases of other entries by this entry's monotonic clock: a lease lapses when its
 * object has not changed for the timeout. Time without a working watch of the platform does not
 * count, so an outage of the platform makes no lease lapse.
 */
public final class LeaseMonitor {
    private final long timeoutNanos;
    private final Map<String, LeaseVersion> leases = new HashMap<>();
    private long watchedSinceNanos;
    private long watchedUntilNanos;
    private boolean isWatching;

    private LeaseMonitor(Duration timeout) {
        timeoutNanos = timeout.toNanos();
    }

    /**
     * Creates a monitor that knows no lease.
     *
     * @param timeout time without a change after which a lease has lapsed
     * @return the monitor
     */
    public static LeaseMonitor of(Duration timeout) {
        return new LeaseMonitor(timeout);
    }

    /**
     * A state of a lease object was read; an older one than the newest known is ignored.
     *
     * @param instance instance that the lease belongs to
     * @param incarnation incarnation that wrote it
     * @param version version of the object
     * @param nowNanos current time, monotonic
     */
    public void onChanged(String instance, String incarnation, long version, long nowNanos) {
        LeaseVersion known = leases.get(instance);
        if (known == null || known.version() < version) {
            leases.put(instance, new LeaseVersion(incarnation, version, nowNanos));
        }
    }

    /**
     * A lease object was deleted.
     *
     * @param instance instance that the lease belonged to
     */
    public void onRemoved(String instance) {
        leases.remove(instance);
    }

    /**
     * The platform answered a watch. After a gap between answers longer than the timeout, the time
     * of every lease starts anew.
     *
     * @param nowNanos current time, monotonic
     */
    public void onWatchAnswered(long nowNanos) {
        if (!isWatching || nowNanos - watchedUntilNanos > timeoutNanos) {
            watchedSinceNanos = nowNanos;
        }
        isWatching = true;
        watchedUntilNanos = nowNanos;
    }

    /** The platform did not answer a watch. */
    public void onWatchFailed() {
        isWatching = false;
    }

    /**
     * Whether a holder's lease is certainly no longer valid.
     *
     * @param holder the holder
     * @param nowNanos current time, monotonic
     * @return true if the lease has lapsed, is gone or belongs to another incarnation; false while
     *     the platform cannot be watched
     */
    public boolean hasLapsed(Holder holder, long nowNanos) {
        if (!isWatching || nowNanos - watchedUntilNanos > timeoutNanos) {
            return false;
        }
        LeaseVersion known = leases.get(holder.instance());
        if (known == null) {
            return nowNanos - watchedSinceNanos > timeoutNanos;
        }
        return !known.incarnation().equals(holder.incarnation()) || isExpired(known, nowNanos);
    }

    /**
     * Returns the entries whose lease has not lapsed.
     *
     * @param nowNanos current time, monotonic
     * @return sorted names of their instances
     */
    public List<String> liveInstances(long nowNanos) {
        return leases.entrySet().stream()
                .filter(lease -> !isExpired(lease.getValue(), nowNanos))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns the incarnation that last wrote a lease.
     *
     * @param instance instance name
     * @return the incarnation, or empty if no lease is known
     */
    public Optional<String> incarnationOf(String instance) {
        return Optional.ofNullable(leases.get(instance)).map(LeaseVersion::incarnation);
    }

    private boolean isExpired(LeaseVersion known, long nowNanos) {
        long since = Math.max(known.atNanos(), watchedSinceNanos);
        return nowNanos - since > timeoutNanos;
    }

    private record LeaseVersion(String incarnation, long version, long atNanos) {}
}
