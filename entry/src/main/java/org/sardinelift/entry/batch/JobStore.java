package org.sardinelift.entry.batch;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;

/** Access of batch work to the object store; callbacks run on the control thread. */
final class JobStore {
    private final ObjectStore store;
    private final BatchControl control;
    private final Backoff backoff;

    JobStore(ObjectStore store, BatchControl control, Backoff backoff) {
        this.store = store;
        this.control = control;
        this.backoff = backoff;
    }

    /** Result of creating an object whose content is the same whichever entry writes it. */
    enum CreateResult {
        CREATED,
        EXISTS,
        /** Known not to be written. */
        NOT_WRITTEN,
        /** Whether it was written is unknown. */
        UNCLEAR;

        boolean isPresent() {
            return this == CREATED || this == EXISTS;
        }
    }

    BatchControl control() {
        return control;
    }

    Backoff backoff() {
        return backoff;
    }

    ObjectStore objects() {
        return store;
    }

    void read(ObjectKey key, Consumer<ReadResult> done) {
        completeOnControlThread(store.read(key), done);
    }

    void write(ObjectKey key, long version, String value, Consumer<WriteResult> done) {
        completeOnControlThread(store.write(key, version, value), done);
    }

    void delete(ObjectKey key, long version, Consumer<WriteResult> done) {
        completeOnControlThread(store.delete(key, version), done);
    }

    void list(String kind, String prefix, Consumer<ListResult> done) {
        completeOnControlThread(store.list(kind, prefix), done);
    }

    <T> void completeOnControlThread(CompletableFuture<T> future, Consumer<T> done) {
        future.thenAccept(result -> control.execute(() -> done.accept(result)));
    }

    /** Creates an object; a conflict means that it exists already, whichever entry wrote it. */
    void create(ObjectKey key, String value, int attempts, Consumer<CreateResult> done) {
        create(key, value, 1, attempts, false, done);
    }

    private void create(
            ObjectKey key,
            String value,
            int attempt,
            int attempts,
            boolean isUnclear,
            Consumer<CreateResult> done) {
        write(
                key,
                ObjectStore.ABSENT_VERSION,
                value,
                result -> {
                    if (result instanceof WriteResult.Written) {
                        done.accept(CreateResult.CREATED);
                    } else if (result instanceof WriteResult.Conflict) {
                        done.accept(CreateResult.EXISTS);
                    } else {
                        boolean isNowUnclear = isUnclear || result instanceof WriteResult.Unclear;
                        if (attempt >= attempts) {
                            done.accept(
                                    isNowUnclear ? CreateResult.UNCLEAR : CreateResult.NOT_WRITTEN);
                            return;
                        }
                        control.schedule(
                                backoff.pause(attempt),
                                () ->
                                        create(
                                                key,
                                                value,
                                                attempt + 1,
                                                attempts,
                                                isNowUnclear,
                                                done));
                    }
                });
    }

    /** Reads an object with a limited number of attempts and passes on the last result. */
    void read(ObjectKey key, int attempts, Consumer<ReadResult> done) {
        read(key, 1, attempts, done);
    }

    private void read(ObjectKey key, int attempt, int attempts, Consumer<ReadResult> done) {
        read(
                key,
                result -> {
                    if (result instanceof ReadResult.Unavailable && attempt < attempts) {
                        control.schedule(
                                backoff.pause(attempt),
                                () -> read(key, attempt + 1, attempts, done));
                    } else {
                        done.accept(result);
                    }
                });
    }

    /** Deletes an object whatever its version, best effort and without retries. */
    void deleteAnyVersion(ObjectKey key) {
        read(
                key,
                result -> {
                    if (result instanceof ReadResult.Found found) {
                        store.delete(key, found.object().version());
                    }
                });
    }
}
