package org.sardinelift.core.catalog;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps one instance's configuration up to date: a write at start, whose revision every later list
 * must have reached, so that a list from a lagging replica is noticed; then lists; then watches
 * from the revision held; lists again after a gap and when a peer holds a newer change for longer
 * than a bound. One call is under way at a time; a call without an answer is given up, and its late
 * answer still counts as information, since {@link CatalogMerger} only goes forward. Times are
 * milliseconds of a monotonic clock. Not safe for use by several threads.
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
    private long barrier;
    private long number;
    private boolean waiting;
    private long giveUpAt;
    private long nextCallAt;
    private long platformAt = NEVER;
    private long peerAt = NEVER;
    private long heard;
    private long behindSince = NEVER;

    private ConfigSync(ConfigTimings timings) {
        this.timings = timings;
    }

    /**
     * Starts from nothing.
     *
     * @param timings intervals and bounds
     * @return a new state machine
     */
    public static ConfigSync create(ConfigTimings timings) {
        return new ConfigSync(timings);
    }

    /**
     * Decides whether a call is due.
     *
     * @param nowMs the time
     * @return the call to make, empty to wait
     */
    public Optional<ConfigCall> nextCall(long nowMs) {
        if (waiting && nowMs >= giveUpAt) {
            waiting = false;
            nextCallAt = nowMs;
        }
        if (isBehindFor(timings.relistDelay(), nowMs) && phase == Phase.WATCH) {
            phase = Phase.LIST;
            waiting = false;
            nextCallAt = nowMs;
        }
        if (waiting || nowMs < nextCallAt) {
            return Optional.empty();
        }
        waiting = true;
        number++;
        Duration wait = phase == Phase.WATCH ? timings.watchWait() : Duration.ZERO;
        giveUpAt = nowMs + wait.plus(timings.callTimeout()).toMillis();
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
     * @param revision the store's revision of the write
     * @param nowMs the time
     */
    public void onBarrierWritten(long call, long revision, long nowMs) {
        platformAt = nowMs;
        barrier = Math.max(barrier, revision);
        if (phase == Phase.BARRIER) {
            phase = Phase.LIST;
            ended(call, nowMs, Duration.ZERO);
        }
    }

    /**
     * All kinds were listed.
     *
     * @param call number of the call
     * @param revisions the revision of each list
     * @param listed states listed of each kind
     * @param nowMs the time
     * @return whether the configuration held has changed
     */
    public boolean onListed(
            long call,
            Map<ConfigKind, Long> revisions,
            Map<ConfigKind, ? extends Collection<ConfigState>> listed,
            long nowMs) {
        platformAt = nowMs;
        boolean changed = false;
        for (Map.Entry<ConfigKind, Long> entry : revisions.entrySet()) {
            changed |=
                    merger.applyList(entry.getKey(), entry.getValue(), listed.get(entry.getKey()));
        }
        long oldest = revisions.values().stream().min(Long::compare).orElse(0L);
        boolean fresh = oldest >= Math.max(barrier, heard) && oldest >= merger.completeRevision();
        if (fresh && phase == Phase.LIST) {
            phase = Phase.WATCH;
        }
        settleBehind(nowMs);
        ended(call, nowMs, fresh ? Duration.ZERO : timings.retryPause());
        return changed;
    }

    /**
     * A watch has answered.
     *
     * @param call number of the call
     * @param revision the revision up to which the changes are complete
     * @param changes the changes
     * @param nowMs the time
     * @return whether the configuration held has changed
     */
    public boolean onChanges(long call, long revision, List<ConfigState> changes, long nowMs) {
        platformAt = nowMs;
        boolean changed = changes.stream().map(merger::apply).reduce(false, Boolean::logicalOr);
        merger.markCompleteTo(revision);
        settleBehind(nowMs);
        ended(call, nowMs, timings.watchPause());
        return changed;
    }

    /**
     * A watch was too far behind.
     *
     * @param call number of the call
     * @param nowMs the time
     */
    public void onGap(long call, long nowMs) {
        platformAt = nowMs;
        phase = phase == Phase.WATCH ? Phase.LIST : phase;
        ended(call, nowMs, Duration.ZERO);
    }

    /**
     * A call failed.
     *
     * @param call number of the call
     * @param nowMs the time
     */
    public void onCallFailed(long call, long nowMs) {
        ended(call, nowMs, timings.retryPause());
    }

    /**
     * A peer has told its newest revision.
     *
     * @param revision revision of the newest configuration change that the peer holds
     * @param nowMs the time
     */
    public void onPeerRevision(long revision, long nowMs) {
        peerAt = nowMs;
        heard = Math.max(heard, revision);
        settleBehind(nowMs);
    }

    /**
     * Whether the configuration has been read as a whole, past the barrier.
     *
     * @return true once requests may be judged by it
     */
    public boolean isReady() {
        return phase == Phase.WATCH || (merger.completeRevision() >= barrier && barrier > 0);
    }

    /**
     * Whether this instance must stop accepting: it has heard neither platform nor peer for too
     * long, or has known of a newer change for too long without being able to read it.
     *
     * @param nowMs the time
     * @return true while isolated
     */
    public boolean isIsolated(long nowMs) {
        long silence = nowMs - Math.max(platformAt, peerAt);
        return silence > timings.isolationTimeout().toMillis()
                || isBehindFor(timings.maxBehind(), nowMs);
    }

    /**
     * The configuration held.
     *
     * @return the log
     */
    public CatalogMerger merger() {
        return merger;
    }

    /**
     * Time since the platform last answered.
     *
     * @param nowMs the time
     * @return milliseconds
     */
    public long platformContactAgeMs(long nowMs) {
        return nowMs - platformAt;
    }

    private boolean isBehindFor(Duration bound, long nowMs) {
        return behindSince != NEVER && nowMs - behindSince >= bound.toMillis();
    }

    private void settleBehind(long nowMs) {
        if (heard <= merger.completeRevision()) {
            behindSince = NEVER;
        } else if (behindSince == NEVER) {
            behindSince = nowMs;
        }
    }

    private void ended(long call, long nowMs, Duration pause) {
        if (call == number && waiting) {
            waiting = false;
            nextCallAt = nowMs + pause.toMillis();
        }
    }
}
