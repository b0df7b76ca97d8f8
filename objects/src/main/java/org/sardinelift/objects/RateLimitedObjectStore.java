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
 * Object store that keeps one instance's calls within its budget. Calls for control objects are
 * sent before those for bulk objects, and each watch counts as a call.
 */
public final class RateLimitedObjectStore implements ObjectStore {
    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final LongSupplier clockNanos;
    private final PriorityRateLimiter limiter;
    private boolean isWakeUpScheduled;

    private RateLimitedObjectStore(
            ObjectStore store,
            CallBudget budget,
            ScheduledExecutorService timer,
            LongSupplier clockNanos) {
        this.store = store;
        this.timer = timer;
        this.clockNanos = clockNanos;
        this.limiter = PriorityRateLimiter.create(budget, clockNanos.getAsLong());
    }

    /**
     * Wraps a store to limit the rate of its calls.
     *
     * @param store store to wrap
     * @param budget limits on the calls
     * @param timer runs calls that had to wait
     * @return the rate-limited store
     */
    public static RateLimitedObjectStore wrap(
            ObjectStore store, CallBudget budget, ScheduledExecutorService timer) {
        return wrap(store, budget, timer, System::nanoTime);
    }

    /**
     * Wraps a store to limit the rate of its calls by a given clock.
     *
     * @param store store to wrap
     * @param budget limits on the calls
     * @param timer runs calls that had to wait
     * @param clockNanos monotonic clock, nanoseconds
     * @return the rate-limited store
     */
    public static RateLimitedObjectStore wrap(
            ObjectStore store,
            CallBudget budget,
            ScheduledExecutorService timer,
            LongSupplier clockNanos) {
        return new RateLimitedObjectStore(store, budget, timer, clockNanos);
    }

    /**
     * Returns how many calls wait for the budget.
     *
     * @return number of queued calls
     */
    public synchronized int queuedCalls() {
        return limiter.queuedCalls();
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return submit(
                key.kind(),
                () -> store.read(key),
                ReadResult.Unavailable::new,
                ReadResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        return submit(
                key.kind(),
                () -> store.write(key, expectedVersion, value),
                WriteResult.NotWritten::new,
                WriteResult.Unclear::new);
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return submit(
                key.kind(),
                () -> store.delete(key, expectedVersion),
                WriteResult.NotWritten::new,
                WriteResult.Unclear::new);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return submit(
                kind,
                () -> store.list(kind, namePrefix),
                ListResult.Unavailable::new,
                ListResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return submit(
                "",
                () -> store.watch(kinds, afterRevision, wait),
                WatchResult.Unavailable::new,
                WatchResult.Unavailable::new);
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return submit(
                "",
                store::instances,
                InstancesResult.Unavailable::new,
                InstancesResult.Unavailable::new);
    }

    private <T> CompletableFuture<T> submit(
            String kind,
            Supplier<CompletableFuture<T>> call,
            Function<String, ? extends T> notSent,
            Function<String, ? extends T> failed) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Runnable send =
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
            queued = limiter.enqueue(CallPriority.ofKind(kind), send);
        }
        if (!queued) {
            result.complete(
                    notSent.apply(
                            "too many calls are queued for the platform; retry after a pause"));
            return result;
        }
        sendPermitted();
        return result;
    }

    private void sendPermitted() {
        List<Runnable> permitted = new ArrayList<>();
        synchronized (this) {
            long now = clockNanos.getAsLong();
            Optional<Runnable> next = limiter.dequeue(now);
            while (next.isPresent()) {
                permitted.add(next.get());
                next = limiter.dequeue(now);
            }
            if (limiter.queuedCalls() > 0 && !isWakeUpScheduled) {
                isWakeUpScheduled = true;
                timer.schedule(
                        this::onTokenAvailable,
                        limiter.nanosUntilNextToken(now),
                        TimeUnit.NANOSECONDS);
            }
        }
        permitted.forEach(Runnable::run);
    }

    private void onTokenAvailable() {
        synchronized (this) {
            isWakeUpScheduled = false;
        }
        sendPermitted();
    }
}
