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

/**
 * Stores idempotency records in the platform. A write whose answer was lost is resolved by reading
 * the record again.
 */
final class IntentStore {
    private final ObjectStore store;
    private final ScheduledExecutorService timers;
    private final IdempotencyBounds bounds;

    /** Outcome of writing an intent. */
    sealed interface Claim {}

    /** This request's intent is written: the request may run. */
    record Claimed() implements Claim {}

    /**
     * An earlier request has written its intent.
     *
     * @param record record of the earlier request
     * @param version version of the stored object
     */
    record Existing(IdempotencyRecord record, long version) implements Claim {}

    /** The intent is not known to be written; this request must not run. */
    record Unavailable() implements Claim {}

    IntentStore(ObjectStore store, ScheduledExecutorService timers, IdempotencyBounds bounds) {
        this.store = store;
        this.timers = timers;
        this.bounds = bounds;
    }

    /** Writes the intent of a request, unless the key has a record. */
    CompletableFuture<Claim> claim(ObjectKey key, IdempotencyRecord intent) {
        return claim(key, intent, bounds.storeAttempts());
    }

    private CompletableFuture<Claim> claim(
            ObjectKey key, IdempotencyRecord intent, int attemptsLeft) {
        if (attemptsLeft == 0) {
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
                                    && attemptsLeft == bounds.storeAttempts()) {
                                return CompletableFuture.completedFuture(new Unavailable());
                            }
                            return resolveWrite(key, intent, attemptsLeft);
                        });
    }

    private CompletableFuture<Claim> resolveWrite(
            ObjectKey key, IdempotencyRecord intent, int attemptsLeft) {
        return store.read(key)
                .thenCompose(
                        result -> {
                            Optional<IdempotencyRecord> stored = record(result);
                            if (stored.isPresent()
                                    && stored.get().intentId().equals(intent.intentId())) {
                                return CompletableFuture.completedFuture(new Claimed());
                            }
                            if (stored.isPresent()) {
                                return CompletableFuture.completedFuture(
                                        new Existing(stored.get(), version(result)));
                            }
                            return retryAfterPause(() -> claim(key, intent, attemptsLeft - 1));
                        });
    }

    /** Updates this request's record, even if another request has marked it as given up. */
    CompletableFuture<Boolean> update(
            ObjectKey key, String intentId, UnaryOperator<IdempotencyRecord> change) {
        return update(key, intentId, change, bounds.storeAttempts());
    }

    private CompletableFuture<Boolean> update(
            ObjectKey key,
            String intentId,
            UnaryOperator<IdempotencyRecord> change,
            int attemptsLeft) {
        if (attemptsLeft == 0) {
            Logger.warn(
                    "Outcome of idempotency record {} could not be stored; a resent call gets"
                            + " \"unknown\"",
                    key.name());
            return CompletableFuture.completedFuture(false);
        }
        return store.read(key)
                .thenCompose(
                        result -> {
                            Optional<IdempotencyRecord> stored = record(result);
                            if (stored.isEmpty() || !stored.get().intentId().equals(intentId)) {
                                return retryAfterPause(
                                        () -> update(key, intentId, change, attemptsLeft - 1));
                            }
                            String value = IdempotencyCodec.write(change.apply(stored.get()));
                            return store.write(key, version(result), value)
                                    .thenCompose(
                                            written ->
                                                    written instanceof WriteResult.Written
                                                            ? CompletableFuture.completedFuture(
                                                                    true)
                                                            : retryAfterPause(
                                                                    () ->
                                                                            update(
                                                                                    key,
                                                                                    intentId,
                                                                                    change,
                                                                                    attemptsLeft
                                                                                            - 1)));
                        });
    }

    /** Deletes the intent of this request, which was certainly not run. */
    CompletableFuture<Boolean> withdraw(ObjectKey key, String intentId) {
        return withdraw(key, intentId, bounds.storeAttempts());
    }

    private CompletableFuture<Boolean> withdraw(ObjectKey key, String intentId, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.completedFuture(false);
        }
        return store.read(key)
                .thenCompose(
                        result -> {
                            if (result instanceof ReadResult.Absent) {
                                return CompletableFuture.completedFuture(true);
                            }
                            Optional<IdempotencyRecord> stored = record(result);
                            if (stored.isPresent() && !stored.get().intentId().equals(intentId)) {
                                return CompletableFuture.completedFuture(true);
                            }
                            if (stored.isEmpty()) {
                                return retryAfterPause(
                                        () -> withdraw(key, intentId, attemptsLeft - 1));
                            }
                            return store.delete(key, version(result))
                                    .thenCompose(
                                            deleted ->
                                                    deleted instanceof WriteResult.Written
                                                            ? CompletableFuture.completedFuture(
                                                                    true)
                                                            : retryAfterPause(
                                                                    () ->
                                                                            withdraw(
                                                                                    key,
                                                                                    intentId,
                                                                                    attemptsLeft
                                                                                            - 1)));
                        });
    }

    /** Marks the record of an earlier request as given up. */
    void giveUp(ObjectKey key, Existing existing) {
        store.write(key, existing.version(), IdempotencyCodec.write(existing.record().unclear()));
    }

    private <T> CompletableFuture<T> retryAfterPause(Supplier<CompletableFuture<T>> operation) {
        CompletableFuture<T> completion = new CompletableFuture<>();
        timers.schedule(
                () -> {
                    CompletionStage<T> result = operation.get();
                    result.whenComplete(
                            (value, error) -> {
                                if (error == null) {
                                    completion.complete(value);
                                } else {
                                    completion.completeExceptionally(error);
                                }
                            });
                },
                bounds.storePause().toNanos(),
                TimeUnit.NANOSECONDS);
        return completion;
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
