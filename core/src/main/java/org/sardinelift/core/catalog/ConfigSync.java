package org.sardinelift.core.catalog;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State machine that keeps one instance's configuration up to date. At start it writes a barrier;
 * every later list must have reached the revision of that write, so that a list from a lagging
 * replica is detected. Then it lists all kinds, then watches from the revision reached. It lists
 * again after a gap, or when a peer has had a newer change for longer than a bound. One call is
 * under way at a time. A call without an answer is given up, but a late answer is still merged,
 * since {@link CatalogMerger} never goes back. Times are milliseconds of a monotonic clock. Not
 * thread-safe.
 */
public final class ConfigSync {
    private enum Phase {
        BARRIER,
        LIST,
        WATCH
    }

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final CatalogMerger merger = CatalogMerger.create();
    private final ConfigTimings timings;
    private Phase phase = Phase.BARRIER;
    private long barrierRevision;
    private long number;
    private boolean isCallPending;
    private long callDeadline;
    private long nextCallAt;
    private long lastPlatformContact = NEVER;
    private long lastPeerContact = NEVER;
    private long highestPeerRevision;
    private long behindSince = NEVER;

    private ConfigSync(ConfigTimings timings) {
        this.timings = timings;
    }

    /**
     * Creates the state machine of an instance that has read no configuration.
     *
     * @param timings intervals and bounds
     * @return the state machine
     */
    public static ConfigSync create(ConfigTimings timings) {
        return new ConfigSync(timings);
    }

    /**
     * Starts the next call if one is due.
     *
     * @param nowMs current time
     * @return the call to make, or empty if none is due
     */
    public Optional<ConfigCall> nextCall(long nowMs) {
        if (isCallPending && nowMs >= callDeadline) {
            isCallPending = false;
            nextCallAt = nowMs;
        }
        if (isBehindFor(timings.relistDelay(), nowMs) && phase == Phase.WATCH) {
            phase = Phase.LIST;
            isCallPending = false;
            nextCallAt = nowMs;
        }
        if (isCallPending || nowMs < nextCallAt) {
            return Optional.empty();
        }
        isCallPending = true;
        number++;
        Duration wait = phase == Phase.WATCH ? timings.watchWait() : Duration.ZERO;
        callDeadline = nowMs + wait.plus(timings.callTimeout()).toMillis();
        return Optional.of(
                switch (phase) {
                    case BARRIER -> new ConfigCall.Barrier(number);
                    case LIST -> new ConfigCall.ListAll(number);
                    case WATCH -> new ConfigCall.Watch(number, merger.completeRevision(), wait);
                });
    }

    /**
     * The barrier was written.
     *
     * @param call number of the call
     * @param revision store revision of the write
     * @param nowMs current time
     */
    public void onBarrierWritten(long call, long revision, long nowMs) {
        lastPlatformContact = nowMs;
        barrierRevision = Math.max(barrierRevision, revision);
        if (phase == Phase.BARRIER) {
            phase = Phase.LIST;
            endCall(call, nowMs, Duration.ZERO);
        }
    }

    /**
     * All kinds were listed.
     *
     * @param call number of the call
     * @param revisions revision of each list
     * @param listed states listed, by kind
     * @param nowMs current time
     * @return whether the configuration has changed
     */
    public boolean onListed(
            long call,
            Map<ConfigKind, Long> revisions,
            Map<ConfigKind, ? extends Collection<ConfigState>> listed,
            long nowMs) {
        lastPlatformContact = nowMs;
        boolean hasChanged = false;
        for (Map.Entry<ConfigKind, Long> entry : revisions.entrySet()) {
            hasChanged |=
                    merger.applyList(entry.getKey(), entry.getValue(), listed.get(entry.getKey()));
        }
        long oldest = revisions.values().stream().min(Long::compare).orElse(0L);
        boolean isFresh =
                oldest >= Math.max(barrierRevision, highestPeerRevision)
                        && oldest >= merger.completeRevision();
        if (isFresh && phase == Phase.LIST) {
            phase = Phase.WATCH;
        }
        updateBehindSince(nowMs);
        endCall(call, nowMs, isFresh ? Duration.ZERO : timings.retryPause());
        return hasChanged;
    }

    /**
     * A watch was answered.
     *
     * @param call number of the call
     * @param revision revision up to which the changes are complete
     * @param changes the changes
     * @param nowMs current time
     * @return whether the configuration has changed
     */
    public boolean onChanges(long call, long revision, List<ConfigState> changes, long nowMs) {
        lastPlatformContact = nowMs;
        boolean hasChanged = changes.stream().map(merger::apply).reduce(false, Boolean::logicalOr);
        merger.markCompleteTo(revision);
        updateBehindSince(nowMs);
        endCall(call, nowMs, timings.watchPause());
        return hasChanged;
    }

    /**
     * A watch started from a revision that the store no longer has.
     *
     * @param call number of the call
     * @param nowMs current time
     */
    public void onGap(long call, long nowMs) {
        lastPlatformContact = nowMs;
        phase = phase == Phase.WATCH ? Phase.LIST : phase;
        endCall(call, nowMs, Duration.ZERO);
    }

    /**
     * A call failed.
     *
     * @param call number of the call
     * @param nowMs current time
     */
    public void onCallFailed(long call, long nowMs) {
        endCall(call, nowMs, timings.retryPause());
    }

    /**
     * A peer reported its newest revision.
     *
     * @param revision revision of the newest configuration change that the peer knows
     * @param nowMs current time
     */
    public void onPeerRevision(long revision, long nowMs) {
        lastPeerContact = nowMs;
        highestPeerRevision = Math.max(highestPeerRevision, revision);
        updateBehindSince(nowMs);
    }

    /**
     * Whether the whole configuration has been read up to the barrier.
     *
     * @return true once requests may be checked against it
     */
    public boolean isReady() {
        return phase == Phase.WATCH
                || (merger.completeRevision() >= barrierRevision && barrierRevision > 0);
    }

    /**
     * Whether this instance must stop accepting requests: it has had contact with neither platform
     * nor peers for too long, or has known of a newer change for too long without being able to
     * read it.
     *
     * @param nowMs current time
     * @return true while isolated
     */
    public boolean isIsolated(long nowMs) {
        long contactAge = nowMs - Math.max(lastPlatformContact, lastPeerContact);
        return contactAge > timings.isolationTimeout().toMillis()
                || isBehindFor(timings.maxBehind(), nowMs);
    }

    /**
     * Returns the configuration known.
     *
     * @return the merger
     */
    public CatalogMerger merger() {
        return merger;
    }

    /**
     * Returns the time since the platform last answered.
     *
     * @param nowMs current time
     * @return milliseconds
     */
    public long platformContactAgeMs(long nowMs) {
        return nowMs - lastPlatformContact;
    }

    private boolean isBehindFor(Duration bound, long nowMs) {
        return behindSince != NEVER && nowMs - behindSince >= bound.toMillis();
    }

    private void updateBehindSince(long nowMs) {
        if (highestPeerRevision <= merger.completeRevision()) {
            behindSince = NEVER;
        } else if (behindSince == NEVER) {
            behindSince = nowMs;
        }
    }

    private void endCall(long call, long nowMs, Duration pause) {
        if (call == number && isCallPending) {
            isCallPending = false;
            nextCallAt = nowMs + pause.toMillis();
        }
    }
}
