package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.core.plan.SoftwareVersion;

/**
 * The software versions of each service that are known to have been registered within a window,
 * which is as long as a stream may be resumed after it began. There may have been others: {@link
 * RecordedVersions} decides whether there were.
 *
 * <p>The record with times, which instances of the previous release rely on, only adds versions.
 * Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class VersionHistory {
    private final long windowNanos;
    private final Map<SoftwareVersion, Long> listedAt = new HashMap<>();

    /** As listed here, or as late as the record allows. */
    private final Map<SoftwareVersion, Long> lastSeen = new HashMap<>();

    private final Map<SoftwareVersion, Long> recordedAt = new HashMap<>();
    private Set<SoftwareVersion> registered = Set.of();
    private boolean hasReadRecord;

    private VersionHistory(Duration window) {
        this.windowNanos = window.toNanos();
    }

    /**
     * Creates the history of an instance that has just started.
     *
     * @param window longest time after which a stream may be resumed
     * @return the history
     */
    public static VersionHistory create(Duration window) {
        return new VersionHistory(window);
    }

    /**
     * Takes over the record that the store holds. At its first read a version may have stayed
     * registered until the record was to be written again; later, this instance lists versions
     * itself.
     *
     * @param ages time since each version was last known to be registered; empty if there is no
     *     record, which shows nothing
     * @param now the time
     */
    public void onRecord(Map<SoftwareVersion, Duration> ages, long now) {
        long slackNanos = hasReadRecord ? 0 : recordIntervalNanos();
        ages.forEach(
                (version, age) -> {
                    long seenAt = now - Math.max(0, age.toNanos() - slackNanos);
                    lastSeen.merge(version, seenAt, Math::max);
                    recordedAt.merge(version, now - age.toNanos(), Math::max);
                });
        hasReadRecord = true;
    }

    /** Time after which the record of registered versions is written again. */
    private long recordIntervalNanos() {
        return windowNanos / 2;
    }

    /**
     * The targets were listed.
     *
     * @param versions versions of all registered targets
     * @param now the time
     */
    public void onTargets(Collection<SoftwareVersion> versions, long now) {
        updateSeen(now);
        registered = Set.copyOf(versions);
        updateSeen(now);
    }

    /** Counts registered versions as seen now, and forgets those that left before the window. */
    private void updateSeen(long now) {
        registered.forEach(
                version -> {
                    listedAt.put(version, now);
                    lastSeen.put(version, now);
                });
        List<SoftwareVersion> gone =
                lastSeen.entrySet().stream()
                        .filter(seen -> now - seen.getValue() >= windowNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(
                version -> {
                    listedAt.remove(version);
                    lastSeen.remove(version);
                    recordedAt.remove(version);
                });
    }

    /**
     * The versions known to have been registered within the window.
     *
     * @param now the time
     * @return the versions of all services
     */
    public Set<SoftwareVersion> versions(long now) {
        updateSeen(now);
        return Set.copyOf(lastSeen.keySet());
    }

    /**
     * The versions of a service known to have been registered within the window.
     *
     * @param service the service
     * @param now the time
     * @return its versions
     */
    public Set<SoftwareVersion> versionsOf(String service, long now) {
        updateSeen(now);
        return lastSeen.keySet().stream()
                .filter(version -> version.service().equals(service))
                .collect(Collectors.toSet());
    }

    /**
     * What the record in the store should say now of the versions that this instance has listed, if
     * their services had several.
     *
     * @param now the time
     * @return time since each version was last listed, or empty if the record in the store will do
     */
    public Optional<Map<SoftwareVersion, Duration>> dueRecord(long now) {
        updateSeen(now);
        Map<String, Long> versionCounts =
                lastSeen.keySet().stream()
                        .collect(
                                Collectors.groupingBy(
                                        SoftwareVersion::service, Collectors.counting()));
        Map<SoftwareVersion, Duration> ages =
                listedAt.entrySet().stream()
                        .filter(seen -> versionCounts.get(seen.getKey().service()) > 1)
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        seen -> Duration.ofNanos(now - seen.getValue())));
        boolean isDue = ages.keySet().stream().anyMatch(version -> isRecordDue(version, now));
        return isDue ? Optional.of(ages) : Optional.empty();
    }

    private boolean isRecordDue(SoftwareVersion version, long now) {
        Long recorded = recordedAt.get(version);
        boolean isRegistered = registered.contains(version);
        return recorded == null || isRegistered && now - recorded >= recordIntervalNanos();
    }
}
