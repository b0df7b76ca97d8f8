package org.sardinelift.objects;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps one instance's calls within its budget: control kinds go before bulk kinds, and each
 * waiting watch counts as a call.
 */
public final class RateLimitedObjectStore implements ObjectStore {
    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final LongSupplier clockNanos;
    private final PriorityRateLimiter pacer;
    private boolean wakeScheduled;

    private RateLimitedObjectStore(
            ObjectStore store,
            CallBudget budget,
            ScheduledExecutorService timer,
            LongSupplier clockNanos) {
        this.store = store;
        this.timer = timer;
        this.clockNanos = clockNanos;
        this.pacer = PriorityRateLimiter.create(budget, clockNanos.getAsLong());
    }

    /**
     * Paces the calls of a store.
     *
     * @param store where the calls go
     * @param budget what may be called
     * @param timer runs calls that had to wait
     * @return the paced store
     */
    public static RateLimitedObjectStore wrap(
            ObjectStore store, CallBudget budget, ScheduledExecutorService timer) {
        return wrap(store, budget, timer, System::nanoTime);
    }

    /**
     * Paces the calls of a store by a given clock.
     *
     * @param store where the calls go
     * @param budget what may be called
     * @param timer runs calls that had to wait
     * @param clockNanos monotonic clock, nanoseconds
     * @return the paced store
     */
    public static RateLimitedObjectStore wrap(
            ObjectStore store,
            CallBudget budget,
            ScheduledExecutorService timer,
            LongSupplier clockNanos) {
        return new RateLimitedObjectStore(store, budget, timer, clockNanos);
    }

    /**
     * Calls that wait for the budget.
     *
     * @return their number
     */
    public synchronized int queuedCalls() {
        return pacer.queuedCalls();
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return pace(
                key.kind(),
                () -> store.read(key),
                ReadResult.Unavailable::new,
                ReadResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        return pace(
                key.kind(),
                () -> store.write(key, expectedVersion, value),
                WriteResult.NotWritten::new,
                WriteResult.Unclear::new);
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return pace(
                key.kind(),
                () -> store.delete(key, expectedVersion),
                WriteResult.NotWritten::new,
                WriteResult.Unclear::new);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return pace(
                kind,
                () -> store.list(kind, namePrefix),
                ListResult.Unavailable::new,
                ListResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return pace(
                "",
                () -> store.watch(kinds, afterRevision, wait),
                WatchResult.Unavailable::new,
                WatchResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return pace(
                "",
                store::instances,
                InstancesResult.Unavailable::new,
                InstancesResult.Unavailable::new);
    }

    private <T> CompletableFuture<T> pace(
            String kind,
            Supplier<CompletableFuture<T>> call,
            Function<String, ? extends T> notSent,
            Function<String, ? extends T> failed) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable sent =
                () ->
                        call.get()
                                .whenComplete(
                                        (value, error) ->
                                                result.complete(
                                                        error == null
                                                                ? value
                                                                : failed.apply(error.toString())));
        boolean queued;
        synchronized (this) {
            queued = pacer.enqueue(CallPriority.ofKind(kind), sent);
        }
        if (!queued) {
            result.complete(
                    notSent.apply("too many calls wait for the platform; try again after a pause"));
            return result;
        }
        sendAllowed();
        return result;
    }

    private void sendAllowed() {
        List<Runnable> allowed = new ArrayList<>();
        synchronized (this) {
            long now = clockNanos.getAsLong();
            Optional<Runnable> next = pacer.dequeue(now);
            while (next.isPresent()) {
                allowed.add(next.get());
                next = pacer.dequeue(now);
            }
            if (pacer.queuedCalls() > 0 && !wakeScheduled) {
                wakeScheduled = true;
                timer.schedule(this::onWake, pacer.nanosUntilNextToken(now), TimeUnit.NANOSECONDS);
            }
        }
        allowed.forEach(Runnable::run);
    }

    private void onWake() {
        synchronized (this) {
            wakeScheduled = false;
        }
        sendAllowed();
    }
}
