package org.sardinelift.core.resume;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.VersionRecord.State;

/**
 * Decides, from the record of software versions in the store and the lists of targets, at which
 * versions this instance may begin streams, whether a service has had one version only, and what is
 * to be written to the record.
 *
 * <p>A stream begins at a version only once the record is known to hold it, so a record with one
 * version of a service shows that no stream began at another. That the record is absent shows
 * nothing. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class RecordedVersions {
    /** Time for which a marked version stays away before it is removed from the record. */
    public static final Duration UNUSED_TIME = Duration.ofSeconds(120);

    /** Spreads the writes of the instances that notice a change at the same time. */
    private static final Duration WRITE_SPREAD = Duration.ofMillis(200);

    /** The same for changes that aren't urgent, at instances that don't read the targets. */
    private static final Duration BACKGROUND_SPREAD = Duration.ofSeconds(20);

    /** Time between reads that fail or don't show what is waited for. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    /** Longest time from the request of a list to its use. */
    private static final Duration MAX_LIST_DELAY = Duration.ofMillis(300);

    /** Longer than a write without a response may still be executed. */
    private static final Duration MAX_WRITE_WAIT = Duration.ofSeconds(8);

    /** Time in which a peer's record arrives if the store is away. */
    private static final Duration MAX_PEER_WAIT = Duration.ofSeconds(1);

    private final long windowNanos;
    private final long settleNanos;
    private final RandomGenerator random;
    private final boolean isFirstStart;
    private final Map<SoftwareVersion, Long> listedSince = new HashMap<>();
    private final Map<SoftwareVersion, Long> lastListedAt = new HashMap<>();
    private final Map<SoftwareVersion, Long> unusedSince = new HashMap<>();
    private @Nullable Known known;

    /** Since when this instance has had a current list without a gap. */
    private OptionalLong observedSince = OptionalLong.empty();

    private OptionalLong changeDueAt = OptionalLong.empty();
    private long nextReadAt = Long.MIN_VALUE;
    private boolean isBusy;
    private boolean isStoreAway;

    /**
     * The record as it was at a time.
     *
     * @param record the record
     * @param objectVersion version of the store's object, 0 if it is absent
     * @param at when the read or write was requested
     */
    public record Known(VersionRecord record, long objectVersion, long at) {}

    /** What to do with the object in the store. */
    public sealed interface Action {
        /** Read it. */
        record Read() implements Action {}

        /**
         * Write it.
         *
         * @param record the record
         * @param expectedVersion version that the object must have
         */
        record Write(VersionRecord record, long expectedVersion) implements Action {}
    }

    private RecordedVersions(
            Duration window, Duration settleTime, RandomGenerator random, boolean isFirstStart) {
        this.isFirstStart = isFirstStart;
        this.windowNanos = window.toNanos();
        this.settleNanos = settleTime.toNanos();
        this.random = random;
    }

    /**
     * Creates the state of an instance that has just started.
     *
     * @param window longest time after which a stream may be resumed
     * @param settleTime time after which a version is on the lists of all instances that rely on
     *     them
     * @param random spreads the writes of several instances
     * @param isFirstStart whether the deployment starts for the first time, so that no stream can
     *     have begun before
     * @return the state
     */
    public static RecordedVersions create(
            Duration window, Duration settleTime, RandomGenerator random, boolean isFirstStart) {
        return new RecordedVersions(window, settleTime, random, isFirstStart);
    }

    /**
     * The newest record that this instance knows.
     *
     * @return the record, or empty if it has never been read here or by a peer
     */
    public Optional<Known> known() {
        return Optional.ofNullable(known);
    }

    /**
     * The record was read or written, by this instance or by a peer.
     *
     * @param update the record
     * @param now the time
     */
    public void onRecord(Known update, long now) {
        if (known != null && update.at() - known.at() <= 0) {
            return;
        }
        known = update;
        Set<SoftwareVersion> unused =
                update.record().states().entrySet().stream()
                        .filter(entry -> entry.getValue() == State.UNUSED)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        unusedSince.keySet().retainAll(unused);
        unused.forEach(version -> unusedSince.putIfAbsent(version, now));
    }

    /**
     * The action that {@link #due} returned has ended.
     *
     * @param isAnswered false if a read failed. A write without a response doesn't show that the
     *     store is away; the read that follows does
     * @param isDone whether a read or write succeeded
     * @param now the time
     */
    public void onActionEnded(boolean isAnswered, boolean isDone, long now) {
        isBusy = false;
        isStoreAway = !isAnswered;
        nextReadAt = isDone ? Long.MIN_VALUE : now + RETRY_INTERVAL.toNanos();
        if (!isDone) {
            changeDueAt = OptionalLong.empty();
        }
    }

    /**
     * The targets were listed.
     *
     * @param versions versions of all registered targets
     * @param now the time
     */
    public void onTargets(Collection<SoftwareVersion> versions, long now) {
        listedSince.keySet().forEach(version -> lastListedAt.put(version, now));
        listedSince.keySet().retainAll(versions);
        versions.forEach(version -> listedSince.putIfAbsent(version, now));
        long maxAge = windowNanos + UNUSED_TIME.toNanos();
        lastListedAt.values().removeIf(at -> now - at > maxAge);
    }

    /**
     * Whether new streams may begin at some listed version, or none is listed.
     *
     * @param now the time
     * @return false while the record is awaited
     */
    public boolean allowsSomeVersion(long now) {
        return listedSince.isEmpty()
                || !selectForNewStreams(Set.copyOf(listedSince.keySet()), now).isEmpty();
    }

    /**
     * Whether new streams may begin at all listed versions, so that none needs to be left out.
     *
     * @param now the time
     * @return whether all are recorded and on the lists of all instances
     */
    public boolean allowsAllVersions(long now) {
        return listedSince.keySet().stream()
                .allMatch(version -> mayBegin(version) && isSettled(version, now));
    }

    /**
     * Time has passed. What was missed while the list was old is not known.
     *
     * @param isListCurrent whether no other instance can know of targets that this one doesn't
     * @param now the time
     */
    public void onListAge(boolean isListCurrent, long now) {
        if (!isListCurrent) {
            observedSince = OptionalLong.empty();
        } else if (observedSince.isEmpty()) {
            observedSince = OptionalLong.of(now);
        }
    }

    /**
     * The version that began all streams of a service that may be resumed now.
     *
     * @param service the service
     * @param seenLately its versions that this instance has seen within the window
     * @param now the time
     * @return the version, or empty if it isn't proved that there was only one
     */
    public Optional<SoftwareVersion> soleVersion(
            String service, Collection<SoftwareVersion> seenLately, long now) {
        if (observedSince.isEmpty()) {
            return Optional.empty();
        }
        long since = observedSince.getAsLong();
        Set<SoftwareVersion> recorded =
                known == null ? Set.of() : known.record().versionsOf(service);
        Set<SoftwareVersion> possible = new HashSet<>(seenLately);
        recorded.stream().filter(version -> !isGone(version, now)).forEach(possible::add);
        boolean isProvedByRecord =
                known != null
                        && recorded.equals(possible)
                        && recorded.stream().noneMatch(this::isUnproved)
                        && known.at() - since >= -MAX_LIST_DELAY.toNanos();
        boolean isProved = isProvedByRecord || now - since >= windowNanos;
        return isProved && possible.size() == 1
                ? Optional.of(possible.iterator().next())
                : Optional.empty();
    }

    private boolean isUnproved(SoftwareVersion version) {
        return known != null && known.record().states().get(version) == State.UNPROVED;
    }

    /** Whether this instance has observed for the window that no target has a version. */
    private boolean isGone(SoftwareVersion version, long now) {
        Long since = unusedSince.get(version);
        return since != null
                && now - since >= settleNanos
                && unlistedNanos(version, now) >= windowNanos;
    }

    /** Time for which current lists have not contained a version. */
    private long unlistedNanos(SoftwareVersion version, long now) {
        if (observedSince.isEmpty() || listedSince.containsKey(version)) {
            return 0;
        }
        long observed = now - observedSince.getAsLong();
        Long last = lastListedAt.get(version);
        return last == null ? observed : Math.min(observed, now - last);
    }

    private boolean mayBegin(SoftwareVersion version) {
        Long since = listedSince.get(version);
        return known != null
                && since != null
                && known.record().isUsable(version)
                && known.at() - since >= 0;
    }

    private boolean isSettled(SoftwareVersion version, long now) {
        Long since = listedSince.get(version);
        return known != null && known.record().states().get(version) == State.IN_USE
                || since != null && now - since >= settleNanos;
    }

    /** Whether another instance may send streams to targets of another version of the service. */
    private boolean mayOtherVersionServe(SoftwareVersion version, long now) {
        Predicate<SoftwareVersion> isOther =
                other -> other.service().equals(version.service()) && !other.equals(version);
        boolean hasJustStarted =
                observedSince.isEmpty() || now - observedSince.getAsLong() < settleNanos;
        return listedSince.keySet().stream().anyMatch(isOther)
                || lastListedAt.entrySet().stream()
                        .anyMatch(
                                last ->
                                        isOther.test(last.getKey())
                                                && now - last.getValue() < settleNanos)
                || hasJustStarted
                        && known != null
                        && known.record().states().keySet().stream()
                                .filter(known.record()::isUsable)
                                .anyMatch(isOther);
    }

    /**
     * Selects the versions at which a new stream may begin.
     *
     * @param available versions of the targets that could run it
     * @param now the time
     * @return the versions; none if the stream has to wait until one is recorded or on all lists
     */
    public Set<SoftwareVersion> selectForNewStreams(Set<SoftwareVersion> available, long now) {
        Set<SoftwareVersion> recorded = filter(available, this::mayBegin);
        Set<SoftwareVersion> settled = filter(recorded, version -> isSettled(version, now));
        if (!settled.isEmpty()) {
            return settled;
        }
        if (!recorded.isEmpty()) {
            return filter(recorded, version -> !mayOtherVersionServe(version, now));
        }
        boolean isPeerRecordKnown =
                isStoreAway
                        && known != null
                        && available.stream().anyMatch(known.record()::isUsable);
        return !isPeerRecordKnown && mayRecordArrive(available, now)
                ? Set.of()
                : selectWithoutStore(available, now);
    }

    private boolean mayRecordArrive(Set<SoftwareVersion> available, long now) {
        Duration wait = isStoreAway ? MAX_PEER_WAIT : MAX_WRITE_WAIT;
        return available.stream()
                .anyMatch(version -> now - listedSince.getOrDefault(version, now) < wait.toNanos());
    }

    private Set<SoftwareVersion> selectWithoutStore(Set<SoftwareVersion> available, long now) {
        Set<SoftwareVersion> usable =
                filter(available, version -> known != null && known.record().isUsable(version));
        Set<SoftwareVersion> settled = filter(usable, version -> isSettled(version, now));
        if (!settled.isEmpty()) {
            return settled;
        }
        return usable.isEmpty()
                ? filter(
                        available,
                        version ->
                                known == null
                                        || known.record().versionsOf(version.service()).isEmpty())
                : filter(usable, version -> !mayOtherVersionServe(version, now));
    }

    private static Set<SoftwareVersion> filter(
            Set<SoftwareVersion> versions, Predicate<SoftwareVersion> condition) {
        return versions.stream().filter(condition).collect(Collectors.toSet());
    }

    /**
     * What to do now with the object in the store. One action at a time is due; its end is told by
     * {@link #onActionEnded}.
     *
     * @param seenLately all versions that this instance has seen within the window
     * @param isTargetsReader whether this instance reads the targets for its zone
     * @param now the time
     * @return the action, or empty if nothing is due
     */
    public Optional<Action> due(
            Collection<SoftwareVersion> seenLately, boolean isTargetsReader, long now) {
        Optional<Action> action =
                isBusy || listedSince.isEmpty() || now < nextReadAt
                        ? Optional.empty()
                        : dueAction(seenLately, isTargetsReader, now);
        isBusy |= action.isPresent();
        return action;
    }

    private Optional<Action> dueAction(
            Collection<SoftwareVersion> seenLately, boolean isTargetsReader, long now) {
        if (known == null || needsRead(known)) {
            return Optional.of(new Action.Read());
        }
        VersionRecord next = nextRecord(known.record(), seenLately, now);
        if (next.equals(known.record())) {
            changeDueAt = OptionalLong.empty();
            return Optional.empty();
        }
        if (changeDueAt.isEmpty()) {
            boolean isUrgent = listedSince.keySet().stream().anyMatch(each -> !mayBegin(each));
            changeDueAt = OptionalLong.of(now + writeDelay(isUrgent, isTargetsReader));
        }
        long dueAt = changeDueAt.getAsLong();
        if (now - dueAt < 0) {
            return Optional.empty();
        }
        // Another instance may have written it meanwhile.
        return Optional.of(
                known.at() - dueAt >= 0
                        ? new Action.Write(next, known.objectVersion())
                        : new Action.Read());
    }

    private boolean needsRead(Known record) {
        boolean isOlderThanList =
                listedSince.values().stream().anyMatch(since -> record.at() - since < 0);
        return isOlderThanList
                || observedSince.isPresent()
                        && record.at() - observedSince.getAsLong() < -MAX_LIST_DELAY.toNanos();
    }

    private long writeDelay(boolean isUrgent, boolean isTargetsReader) {
        long spread = (long) (random.nextDouble() * WRITE_SPREAD.toNanos());
        if (isTargetsReader) {
            return spread;
        }
        return isUrgent
                ? WRITE_SPREAD.toNanos() + spread
                : BACKGROUND_SPREAD.dividedBy(10).toNanos()
                        + (long) (random.nextDouble() * BACKGROUND_SPREAD.toNanos());
    }

    private VersionRecord nextRecord(
            VersionRecord record, Collection<SoftwareVersion> seenLately, long now) {
        Map<SoftwareVersion, State> next = new HashMap<>();
        record.states()
                .forEach(
                        (version, state) ->
                                nextState(version, state, now)
                                        .ifPresent(updated -> next.put(version, updated)));
        Set<SoftwareVersion> unrecorded = new HashSet<>(listedSince.keySet());
        unrecorded.removeAll(record.states().keySet());
        Set<String> newServices =
                unrecorded.stream()
                        .map(SoftwareVersion::service)
                        .filter(service -> record.versionsOf(service).isEmpty())
                        .collect(Collectors.toSet());
        unrecorded.forEach(
                version ->
                        next.put(
                                version,
                                newServices.contains(version.service())
                                        ? stateOfNewService()
                                        : State.NEW));
        seenLately.stream()
                .filter(version -> newServices.contains(version.service()))
                .forEach(version -> next.put(version, stateOfNewService()));
        return new VersionRecord(next);
    }

    /** That a service isn't recorded shows nothing, unless nothing can have begun before. */
    private State stateOfNewService() {
        return isFirstStart ? State.IN_USE : State.UNPROVED;
    }

    /** Whether this instance has observed the targets for as long as a stream may be resumed. */
    private boolean isProvedNow(long listedSince, long now) {
        return now - listedSince >= windowNanos
                && observedSince.isPresent()
                && now - observedSince.getAsLong() >= windowNanos;
    }

    /** The state that a recorded version should have, or empty if it is to be removed. */
    private Optional<State> nextState(SoftwareVersion version, State state, long now) {
        Long since = listedSince.get(version);
        if (since != null) {
            boolean isSettledHere = now - since >= settleNanos;
            return Optional.of(
                    switch (state) {
                        case UNUSED -> State.NEW;
                        case UNPROVED -> isProvedNow(since, now) ? State.IN_USE : State.UNPROVED;
                        case NEW -> isSettledHere ? State.IN_USE : State.NEW;
                        case IN_USE -> State.IN_USE;
                    });
        }
        boolean hasOtherVersion =
                listedSince.keySet().stream()
                        .anyMatch(other -> other.service().equals(version.service()));
        long unlisted = unlistedNanos(version, now);
        if (!hasOtherVersion || unlisted < windowNanos) {
            return Optional.of(state);
        }
        Long markedAt = unusedSince.get(version);
        boolean isRemovable =
                markedAt != null && Math.min(unlisted, now - markedAt) >= UNUSED_TIME.toNanos();
        return isRemovable ? Optional.empty() : Optional.of(State.UNUSED);
    }
}
