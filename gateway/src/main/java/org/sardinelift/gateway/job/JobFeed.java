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

/** Follows the stored jobs: a list, then watches; after a gap the list again. On the event loop. */
final class JobFeed {
    /** Bounds how old the knowledge is that nothing has changed. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(200);

    /** Changes gather between two watches, each of which is a call. */
    private static final Duration PAUSE = Duration.ofMillis(380);

    private static final Duration RETRY = Duration.ofMillis(300);

    private final JobRegistry book;
    private final ObjectStore store;
    private final EventLoop loop;
    private final StoreAvailability contact;
    private boolean complete;
    private long freshAt;

    JobFeed(JobRegistry book, ObjectStore store, EventLoop loop, StoreAvailability contact) {
        this.book = book;
        this.store = store;
        this.loop = loop;
        this.contact = contact;
    }

    void start() {
        loop.execute(this::list);
    }

    /** Whether all jobs stored at the start are known. */
    boolean isComplete() {
        return complete;
    }

    /** Time since which a change may have been missed, nanoseconds. */
    long staleNanos() {
        return complete ? System.nanoTime() - freshAt : Long.MAX_VALUE;
    }

    private void list() {
        long askedAt = System.nanoTime();
        store.list(JobObject.KIND, "").thenAcceptAsync(result -> onList(result, askedAt), loop);
    }

    private void onList(ListResult result, long askedAt) {
        contact.onResult(result);
        if (!(result instanceof ListResult.Listed listed)) {
            later(RETRY, this::list);
            return;
        }
        // Parts and records are taken before and after the headers that they belong to.
        listed.objects().stream()
                .filter(object -> isPart(object.key().name()))
                .forEach(book::apply);
        listed.objects().stream()
                .filter(object -> object.key().name().endsWith(".job"))
                .forEach(book::apply);
        listed.objects().stream()
                .filter(object -> !isPart(object.key().name()))
                .filter(object -> !object.key().name().endsWith(".job"))
                .sorted(java.util.Comparator.comparingLong(object -> object.revision()))
                .forEach(book::apply);
        complete = true;
        freshAt = askedAt;
        watch(listed.revision());
    }

    private static boolean isPart(String name) {
        return JobObject.parse(name).filter(JobObject.Part.class::isInstance).isPresent();
    }

    private void watch(long after) {
        long askedAt = System.nanoTime();
        store.watch(Set.of(JobObject.KIND), after, WATCH_WAIT)
                .thenAcceptAsync(result -> onWatch(result, after, askedAt), loop);
    }

    private void onWatch(WatchResult result, long after, long askedAt) {
        contact.onResult(result);
        if (result instanceof WatchResult.Changes changes) {
            changes.changes().stream()
                    .map(WatchResult.Change::object)
                    .filter(Objects::nonNull)
                    .forEach(book::apply);
            freshAt = askedAt;
            later(PAUSE, () -> watch(Math.max(after, changes.revision())));
        } else if (result instanceof WatchResult.Gap) {
            list();
        } else {
            later(RETRY, () -> watch(after));
        }
    }

    private void later(Duration pause, Runnable task) {
        loop.schedule(task, pause.toMillis(), TimeUnit.MILLISECONDS);
    }
}
