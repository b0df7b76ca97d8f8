package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.WatchResult;

/** Lists the stored jobs and then watches them; lists them again after a gap. On the event loop. */
final class JobFeed {
    /** Bounds the age of the last answer while nothing changes. */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(200);

    /** Collects changes between two watches, since each watch is a call of the store. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(380);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final JobRegistry jobs;
    private final ObjectStore store;
    private final EventLoop loop;
    private final StoreAvailability storeAvailability;
    private boolean isComplete;
    private long upToDateAt;

    JobFeed(
            JobRegistry jobs,
            ObjectStore store,
            EventLoop loop,
            StoreAvailability storeAvailability) {
        this.jobs = jobs;
        this.store = store;
        this.loop = loop;
        this.storeAvailability = storeAvailability;
    }

    void start() {
        loop.execute(this::list);
    }

    /** Whether all jobs stored at the start are known. */
    boolean isComplete() {
        return isComplete;
    }

    /** Time since the last request whose answer covered all changes, nanoseconds. */
    long staleNanos() {
        return isComplete ? System.nanoTime() - upToDateAt : Long.MAX_VALUE;
    }

    private void list() {
        long requestedAt = System.nanoTime();
        store.list(JobObject.KIND, "").thenAcceptAsync(result -> onList(result, requestedAt), loop);
    }

    private void onList(ListResult result, long requestedAt) {
        storeAvailability.onResult(result);
        if (!(result instanceof ListResult.Listed listed)) {
            runAfter(RETRY_DELAY, this::list);
            return;
        }
        jobs.applyAll(listed.objects());
        isComplete = true;
        upToDateAt = requestedAt;
        watch(listed.revision());
    }

    private void watch(long after) {
        long requestedAt = System.nanoTime();
        store.watch(Set.of(JobObject.KIND), after, WATCH_TIMEOUT)
                .thenAcceptAsync(result -> onWatch(result, after, requestedAt), loop);
    }

    private void onWatch(WatchResult result, long after, long requestedAt) {
        storeAvailability.onResult(result);
        if (result instanceof WatchResult.Changes changes) {
            jobs.applyAll(
                    changes.changes().stream()
                            .map(WatchResult.Change::object)
                            .filter(Objects::nonNull)
                            .toList());
            upToDateAt = requestedAt;
            runAfter(WATCH_PAUSE, () -> watch(Math.max(after, changes.revision())));
        } else if (result instanceof WatchResult.Gap) {
            list();
        } else {
            runAfter(RETRY_DELAY, () -> watch(after));
        }
    }

    private void runAfter(Duration delay, Runnable task) {
        loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
