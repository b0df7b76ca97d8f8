package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.StreamOrigins.Origin;

/**
 * What one instance knows of the software versions that began streams: those that it began itself,
 * those that it keeps for others, and the versions that were registered lately.
 *
 * <p>While a service has one version, nothing is announced to other instances. Once it may have
 * several, each stream is announced to its keepers when it is sent to a target, before its first
 * event, and so are those that began shortly before. Times are nanoseconds of a monotonic clock.
 * Not thread-safe.
 */
public final class StreamVersions {
    /** Longest time after which a stream may be resumed; callers wait for seconds. */
    public static final Duration RESUME_WINDOW = Duration.ofSeconds(60);

    /**
     * Longer than the age of a current list, so that each of them has a version that is settled.
     */
    private static final Duration VERSION_SETTLE_TIME = TargetListAge.MAX_CURRENT.plusMillis(200);

    /** Streams that callers may still be reading when a second version appears. */
    private static final Duration RECENT_STREAM_AGE = Duration.ofSeconds(10);

    private static final int MAX_STREAMS = 50_000;

    private final VersionHistory history = VersionHistory.create(RESUME_WINDOW);
    private final RecordedVersions recorded;
    private final StreamOrigins own = StreamOrigins.create(RESUME_WINDOW, MAX_STREAMS);
    private final StreamOrigins kept = StreamOrigins.create(RESUME_WINDOW, MAX_STREAMS);
    private final String instance;

    private StreamVersions(String instance, RandomGenerator random, boolean isFirstStart) {
        this.instance = instance;
        this.recorded =
                RecordedVersions.create(RESUME_WINDOW, VERSION_SETTLE_TIME, random, isFirstStart);
    }

    /** How the version that began a stream was found. */
    public enum Source {
        /** This instance began the stream. */
        OWN,
        /** Another instance began it and announced it. */
        KEPT,
        /** A keeper was asked. */
        ASKED,
        /** The service has had no other version lately. */
        SOLE_VERSION
    }

    /**
     * The version that began a stream.
     *
     * @param version the version
     * @param source how it was found
     */
    public record Found(SoftwareVersion version, Source source) {}

    /**
     * Creates the state of an instance that has just started.
     *
     * @param instance its name
     * @param random spreads the writes of several instances
     * @param isFirstStart whether the deployment starts for the first time
     * @return the state
     */
    public static StreamVersions create(
            String instance, RandomGenerator random, boolean isFirstStart) {
        return new StreamVersions(instance, random, isFirstStart);
    }

    /**
     * The versions that were registered lately.
     *
     * @return the history
     */
    public VersionHistory history() {
        return history;
    }

    /**
     * What the record in the store shows of the versions.
     *
     * @return the decisions
     */
    public RecordedVersions recorded() {
        return recorded;
    }

    /**
     * The targets were listed.
     *
     * @param registered versions of all registered targets
     * @param now the time
     */
    public void onTargets(Collection<SoftwareVersion> registered, long now) {
        history.onTargets(registered, now);
        recorded.onTargets(registered, now);
    }

    /**
     * What to do now with the record in the store.
     *
     * @param isTargetsReader whether this instance reads the targets for its zone
     * @param now the time
     * @return the action, or empty if nothing is due
     */
    public Optional<RecordedVersions.Action> dueAction(boolean isTargetsReader, long now) {
        return recorded.due(history.versions(now), isTargetsReader, now);
    }

    /**
     * A stream that this instance begins is sent to a target.
     *
     * @param origin where it begins
     * @param now the time
     */
    public void onSent(Origin origin, long now) {
        own.put(origin, instance, now);
    }

    /**
     * Another instance has announced where a stream begins.
     *
     * @param origin where it begins
     * @param announcer the instance
     * @param now the time
     */
    public void onAnnounced(Origin origin, String announcer, long now) {
        kept.put(origin, announcer, now);
    }

    /**
     * Finds the version that began a stream.
     *
     * @param stream hash of the stream
     * @param service service that runs the stream
     * @param isListCurrent whether no other instance can know of targets that this one doesn't
     * @param now the time
     * @return the version, or empty if this instance doesn't know
     */
    public Optional<Found> find(long stream, String service, boolean isListCurrent, long now) {
        return own.find(stream, now)
                .map(version -> new Found(version, Source.OWN))
                .or(() -> kept.find(stream, now).map(version -> new Found(version, Source.KEPT)))
                .or(
                        () ->
                                soleVersion(service, isListCurrent, now)
                                        .map(v -> new Found(v, Source.SOLE_VERSION)));
    }

    /**
     * The version that began all streams of a service that may be resumed now.
     *
     * @param service the service
     * @param isListCurrent whether no other instance can know of targets that this one doesn't
     * @param now the time
     * @return the version, or empty if there may be several
     */
    public Optional<SoftwareVersion> soleVersion(String service, boolean isListCurrent, long now) {
        recorded.onListAge(isListCurrent, now);
        return isListCurrent
                ? recorded.soleVersion(service, history.versionsOf(service, now), now)
                : Optional.empty();
    }

    /**
     * The streams of a service that its callers may still be reading, to be announced when it may
     * have a second version.
     *
     * @param service the service
     * @param now the time
     * @return where they begin
     */
    public Stream<Origin> recentStreams(String service, long now) {
        return own.begunWithin(RECENT_STREAM_AGE, now)
                .filter(origin -> origin.version().service().equals(service));
    }

    /**
     * Counts the streams whose beginning is known here.
     *
     * @return number of own and of kept streams
     */
    public int size() {
        return own.size() + kept.size();
    }

    /**
     * Counts the streams that were dropped before their time because of a bound.
     *
     * @return their number
     */
    public long droppedCount() {
        return own.droppedCount() + kept.droppedCount();
    }
}
