package org.sardinelift.entry.filter;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.outcome.IdempotencyRecord;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.tinylog.Logger;

/** Idempotency records in the platform; a lost answer is settled by reading the record again. */
final class IntentStore {
    private final ObjectStore store;
    private final ScheduledExecutorService timers;
    private final IdempotencyBounds bounds;

    /** Outcome of writing an intent. */
    sealed interface Claim {}

    /** The intent is written and is this request's own: it may run. */
    record Claimed() implements Claim {}

    /**
     * An earlier request wrote its intent.
     *
     * @param record what is kept of it
     * @param version version of the object
     */
    record Existing(IdempotencyRecord record, long version) implements Claim {}

    /** Nothing is certain but that this request must not run. */
    record Unavailable() implements Claim {}

    IntentStore(ObjectStore store, ScheduledExecutorService timers, IdempotencyBounds bounds) {
        this.store = store;
        this.timers = timers;
        this.bounds = bounds;
    }

    /** Writes an intent where there is none. */
    CompletableFuture<Claim> claim(ObjectKey key, IdempotencyRecord intent) {
        return claim(key, intent, bounds.storeAttempts());
    }

    private CompletableFuture<Claim> claim(ObjectKey key, IdempotencyRecord intent, int left) {
        if (left == 0) {
            withdraw(key, intent.intentId());
            return CompletableFuture.completedFuture(new Unavailable());
        }
        return store.write(key, ObjectStore.ABSENT_VERSION, IdempotencyCodec.write(intent))
                .thenCompose(
                        result -> {
                            if (result instanceof WriteResult.Written) {
                                return CompletableFuture.completedFuture(new Claimed());
                            }
                            if (result instanceof WriteResult.NotWritten
                                    && left == bounds.storeAttempts()) {
                                return CompletableFuture.completedFuture(new Unavailable());
                            }
                            return settle(key, intent, left);
                        });
    }

    private CompletableFuture<Claim> settle(ObjectKey key, IdempotencyRecord intent, int left) {
        return store.read(key)
                .thenCompose(
                        result -> {
                            Optional<IdempotencyRecord> held = record(result);
                            if (held.isPresent()
                                    && held.get().intentId().equals(intent.intentId())) {
                                return CompletableFuture.completedFuture(new Claimed());
                            }
                            if (held.isPresent()) {
                                return CompletableFuture.completedFuture(
                                        new Existing(held.get(), version(result)));
                            }
                            return after(() -> claim(key, intent, left - 1));
                        });
    }

    /** Replaces this request's own record, also where another concluded that it was given up. */
    CompletableFuture<Boolean> update(
            ObjectKey key, String mark, UnaryOperator<IdempotencyRecord> change) {
        return update(key, mark, change, bounds.storeAttempts());
    }

    private CompletableFuture<Boolean> update(
            ObjectKey key, String mark, UnaryOperator<IdempotencyRecord> change, int left) {
        if (left == 0) {
            Logger.warn(
                    "The outcome of {} could not be recorded; a resent call gets \"unknown\"",
                    key.name());
            return CompletableFuture.completedFuture(false);
        }
        return store.read(key)
                .thenCompose(
                        result -> {
                            Optional<IdempotencyRecord> held = record(result);
                            if (held.isEmpty() || !held.get().intentId().equals(mark)) {
                                return after(() -> update(key, mark, change, left - 1));
                            }
                            String value = IdempotencyCodec.write(change.apply(held.get()));
                            return store.write(key, version(result), value)
                                    .thenCompose(
                                            written ->
                                                    written instanceof WriteResult.Written
                                                            ? CompletableFuture.completedFuture(
                                                                    true)
                                                            : after(
                                                                    () ->
                                                                            update(
                                                                                    key, mark,
                                                                                    change,
                                                                                    left - 1)));
                        });
    }

    /** Deletes this request's own intent, since it certainly was not run. */
    CompletableFuture<Boolean> withdraw(ObjectKey key, String mark) {
        return withdraw(key, mark, bounds.storeAttempts());
    }

    private CompletableFuture<Boolean> withdraw(ObjectKey key, String mark, int left) {
        if (left == 0) {
            return CompletableFuture.completedFuture(false);
        }
        return store.read(key)
                .thenCompose(
                        result -> {
                            if (result instanceof ReadResult.Absent) {
                                return CompletableFuture.completedFuture(true);
                            }
                            Optional<IdempotencyRecord> held = record(result);
                            if (held.isPresent() && !held.get().intentId().equals(mark)) {
                                return CompletableFuture.completedFuture(true);
                            }
                            if (held.isEmpty()) {
                                return after(() -> withdraw(key, mark, left - 1));
                            }
                            return store.delete(key, version(result))
                                    .thenCompose(
                                            deleted ->
                                                    deleted instanceof WriteResult.Written
                                                            ? CompletableFuture.completedFuture(
                                                                    true)
                                                            : after(
                                                                    () ->
                                                                            withdraw(
                                                                                    key, mark,
                                                                                    left - 1)));
                        });
    }

    /** Notes that an earlier request was given up. */
    void giveUp(ObjectKey key, Existing other) {
        store.write(key, other.version(), IdempotencyCodec.write(other.record().unclear()));
    }

    private <T> CompletableFuture<T> after(Supplier<CompletableFuture<T>> step) {
        CompletableFuture<T> later = new CompletableFuture<>();
        timers.schedule(
                () -> {
                    CompletionStage<T> next = step.get();
                    next.whenComplete(
                            (value, error) -> {
                                if (error == null) {
                                    later.complete(value);
                                } else {
                                    later.completeExceptionally(error);
                                }
                            });
                },
                bounds.storePause().toNanos(),
                TimeUnit.NANOSECONDS);
        return later;
    }

    private static Optional<IdempotencyRecord> record(ReadResult result) {
        StoredObject object = object(result);
        return object == null ? Optional.empty() : IdempotencyCodec.read(object.value());
    }

    private static long version(ReadResult result) {
        StoredObject object = object(result);
        return object == null ? ObjectStore.ABSENT_VERSION : object.version();
    }

    private static @Nullable StoredObject object(ReadResult result) {
        return result instanceof ReadResult.Found found ? found.object() : null;
    }
}
