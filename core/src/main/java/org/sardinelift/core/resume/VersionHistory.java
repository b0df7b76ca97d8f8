package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.core.plan.SoftwareVersion;

/**
 * The software versions of each service that were registered within a window, which is as long as a
 * stream may be resumed after it began. Where there was only one, it began every such stream.
 *
 * <p>An instance that has just started knows nothing of the time before. It takes the record that
 * the others keep in the store; without one its history is complete after the window. Times are
 * nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class VersionHistory {
    private final long windowNanos;
    private final long settleNanos;
    private final Map<SoftwareVersion, Long> firstSeen = new HashMap<>();
    private final Map<SoftwareVersion, Long> listedAt = new HashMap<>();

    /** As listed here, or as late as the record allows. */
    private final Map<SoftwareVersion, Long> lastSeen = new HashMap<>();

    private final Map<SoftwareVersion, Long> recordedAt = new HashMap<>();
    private Set<SoftwareVersion> registered = Set.of();
    private OptionalLong completeSince = OptionalLong.empty();
    private boolean hasReadRecord;

    private VersionHistory(Duration window, Duration settleTime) {
        this.windowNanos = window.toNanos();
        this.settleNanos = settleTime.toNanos();
    }

    /**
     * Creates the history of an instance that has just started.
     *
     * @param window longest time after which a stream may be resumed
     * @param settleTime time after which a registered version is on the lists of all instances that
     *     rely on them
     * @return the history
     */
    public static VersionHistory create(Duration window, Duration settleTime) {
        return new VersionHistory(window, settleTime);
    }

    /**
     * Takes over the record that the store holds. At its first read a version may have stayed
     * registered until the record was to be written again; later, this instance lists versions
     * itself.
     *
     * @param ages time since each version was last known to be registered; empty if there is no
     *     record, as only one version of each service has ever been registered
     * @param now the time
     */
    public void onRecord(Map<SoftwareVersion, Duration> ages, long now) {
        long slackNanos = hasReadRecord ? 0 : recordIntervalNanos();
        ages.forEach(
                (version, age) -> {
                    long seenAt = now - Math.max(0, age.toNanos() - slackNanos);
                    firstSeen.merge(version, now - age.toNanos(), Math::min);
                    lastSeen.merge(version, seenAt, Math::max);
                    recordedAt.merge(version, now - age.toNanos(), Math::max);
                });
        if (!hasReadRecord) {
            hasReadRecord = true;
            completeSince = OptionalLong.of(now - windowNanos);
        }
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
        if (completeSince.isEmpty()) {
            completeSince = OptionalLong.of(now);
        }
        registered = Set.copyOf(versions);
        registered.forEach(version -> firstSeen.putIfAbsent(version, now));
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
                    firstSeen.remove(version);
                    listedAt.remove(version);
                    lastSeen.remove(version);
                    recordedAt.remove(version);
                });
    }

    /**
     * The version that began all streams of a service that may be resumed now.
     *
     * @param service the service
     * @param now the time
     * @return the version, or empty if there may have been several, or none is known
     */
    public Optional<SoftwareVersion> soleVersion(String service, long now) {
        updateSeen(now);
        boolean isComplete =
                completeSince.isPresent() && now - completeSince.getAsLong() >= windowNanos;
        List<SoftwareVersion> versions =
                lastSeen.keySet().stream()
                        .filter(version -> version.service().equals(service))
                        .toList();
        return isComplete && versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty();
    }

    /**
     * Whether all instances that rely on their lists have had time to list a version. Before that,
     * one of them may still take another version for the only one.
     *
     * @param version the version
     * @param now the time
     * @return whether it was registered for long enough, as far as is known
     */
    public boolean isSettled(SoftwareVersion version, long now) {
        Long first = firstSeen.get(version);
        return first != null && now - first >= settleNanos;
    }

    /**
     * Whether a version is registered that some instances may not have listed yet.
     *
     * @param now the time
     * @return false if {@link #isSettled} is true for all
     */
    public boolean hasUnsettledVersion(long now) {
        return registered.stream().anyMatch(version -> !isSettled(version, now));
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
