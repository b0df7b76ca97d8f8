package org.sardinelift.objects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how {@link RateLimitedObjectStore} orders, delays and refuses calls. */
final class RateLimitedObjectStoreTest {
    private static final ObjectKey LEASE = new ObjectKey("lease", "l");
    private static final ObjectKey RESULT = new ObjectKey("job-result", "r");

    private final List<String> calls = new ArrayList<>();
    private final VirtualTimer timer = new VirtualTimer();
    private final ObjectStore store =
            RateLimitedObjectStore.wrap(
                    new RecordingStore(), new CallBudget(1, 1, 3), timer, () -> timer.nowNanos);

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    @Test
    void aWatchSpendsATokenAndControlCallsAreSentFirst() {
        CompletableFuture<WatchResult> watch =
                store.watch(Set.of("team"), 0, Duration.ofSeconds(30));
        CompletableFuture<WriteResult> bulk = store.write(RESULT, 0, "x");
        CompletableFuture<ReadResult> control = store.read(LEASE);
        assertEquals(List.of("watch"), calls);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(List.of("watch", "read lease"), calls);
        assertTrue(control.isDone());
        assertFalse(bulk.isDone());
        timer.advance(Duration.ofSeconds(1));
        assertEquals(List.of("watch", "read lease", "write job-result"), calls);
        assertTrue(watch.isDone());
    }

    @Test
    void aCallIsNotSentIfTheQueueIsFull() {
        List<CompletableFuture<WriteResult>> writes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            writes.add(store.write(RESULT, 0, "x"));
        }
        assertInstanceOf(WriteResult.NotWritten.class, writes.get(4).join());
        assertEquals(List.of("write job-result"), calls);
    }

    @Test
    void aFailedFutureOfTheStoreBecomesAnUnclearWrite() {
        assertInstanceOf(WriteResult.Unclear.class, store.delete(LEASE, 1).join());
    }

    private final class RecordingStore implements ObjectStore {
        @Override
        public CompletableFuture<ReadResult> read(ObjectKey key) {
            calls.add("read " + key.kind());
            return CompletableFuture.completedFuture(new ReadResult.Absent(0));
        }

        @Override
        public CompletableFuture<WriteResult> write(ObjectKey key, long expected, String value) {
            calls.add("write " + key.kind());
            return CompletableFuture.completedFuture(new WriteResult.Written(1, 1));
        }

        @Override
        public CompletableFuture<WriteResult> delete(ObjectKey key, long expected) {
            return CompletableFuture.failedFuture(new IllegalStateException("broken"));
        }

        @Override
        public CompletableFuture<ListResult> list(String kind, String namePrefix) {
            return CompletableFuture.completedFuture(new ListResult.Listed(0, List.of()));
        }

        @Override
        public CompletableFuture<WatchResult> watch(Set<String> kinds, long after, Duration wait) {
            calls.add("watch");
            return CompletableFuture.completedFuture(new WatchResult.Changes(0, List.of()));
        }

        @Override
        public CompletableFuture<InstancesResult> instances() {
            return CompletableFuture.completedFuture(new InstancesResult.Instances(List.of()));
        }
    }

    /** Timer that runs scheduled tasks when the test advances the time. */
    private static final class VirtualTimer extends ScheduledThreadPoolExecutor
            implements ScheduledExecutorService {
        private final List<Task> tasks = new ArrayList<>();
        private long nowNanos;

        VirtualTimer() {
            super(0);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            tasks.add(new Task(nowNanos + unit.toNanos(delay), task));
            return null;
        }

        void advance(Duration time) {
            nowNanos += time.toNanos();
            List<Task> due = tasks.stream().filter(each -> each.atNanos() <= nowNanos).toList();
            tasks.removeAll(due);
            due.forEach(each -> each.task().run());
        }

        private record Task(long atNanos, Runnable task) {}
    }
}
