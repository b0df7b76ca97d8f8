package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.joblog.RecordEntry;
import org.sardinelift.core.joblog.StoredText;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/** Creates and reads the objects of jobs. On the event loop. */
final class JobStorage {
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private final ObjectStore store;
    private final EventLoop loop;
    private final StoreAvailability storeAvailability;

    /** Outcome of a creation. */
    enum CreateResult {
        /** The object was created. */
        CREATED,
        /** The object existed before, or a write without an answer has created it. */
        EXISTED,
        /** The object does not exist and won't be created. */
        NOT_CREATED,
        /** Unknown: the answer to a write was lost. */
        UNCLEAR;

        boolean exists() {
            return this == CREATED || this == EXISTED;
        }

        /** Name in metrics. */
        String label() {
            return exists() ? "exists" : name().toLowerCase(Locale.ROOT);
        }
    }

    JobStorage(ObjectStore store, EventLoop loop, StoreAvailability storeAvailability) {
        this.store = store;
        this.loop = loop;
        this.storeAvailability = storeAvailability;
    }

    /** Stores a job; it is accepted once the header, its last object, exists. */
    CompletableFuture<CreateResult> createJob(
            String job, JobCodec.Header header, String document, long deadline) {
        List<String> documentParts = split(document);
        int parts = documentParts.size() - 1;
        CompletableFuture<CreateResult> stored =
                CompletableFuture.completedFuture(CreateResult.CREATED);
        for (int i = 0; i < parts; i++) {
            ObjectKey key = new JobObject.Part(job, i).key();
            String part = documentParts.get(i);
            stored = stored.thenCompose(before -> createAfter(before, key, part, deadline));
        }
        JobCodec.Header storedHeader =
                new JobCodec.Header(
                        header.team(),
                        header.route(),
                        header.host(),
                        header.submittedMs(),
                        parts,
                        documentParts.get(parts));
        return stored.thenCompose(
                before ->
                        // The job is not accepted without all of its parts, even if the creation of
                        // one is unclear.
                        before.exists()
                                ? create(
                                        new JobObject.Header(job).key(),
                                        JobCodec.encodeHeader(storedHeader),
                                        deadline)
                                : CompletableFuture.completedFuture(CreateResult.NOT_CREATED));
    }

    private CompletableFuture<CreateResult> createAfter(
            CreateResult before, ObjectKey key, String value, long deadline) {
        return before.exists()
                ? create(key, value, deadline)
                : CompletableFuture.completedFuture(before);
    }

    private static List<String> split(String document) {
        List<String> documentParts = new ArrayList<>();
        int begin = 0;
        int end = 0;
        do {
            begin = end;
            end = StoredText.partEnd(document, begin, JobCodec.MAX_PART_BYTES);
            documentParts.add(document.substring(begin, end));
        } while (end < document.length());
        return documentParts;
    }

    CompletableFuture<CreateResult> createEnd(String job, long deadline) {
        return create(new JobObject.End(job).key(), "{}", deadline);
    }

    /** Creates an object, and retries after failures until the deadline. */
    private CompletableFuture<CreateResult> create(ObjectKey key, String value, long deadline) {
        CompletableFuture<CreateResult> done = new CompletableFuture<>();
        create(key, value, deadline, false, done);
        return done;
    }

    private void create(
            ObjectKey key,
            String value,
            long deadline,
            boolean wasUnclear,
            CompletableFuture<CreateResult> done) {
        store.write(key, ObjectStore.ABSENT_VERSION, value)
                .thenAcceptAsync(
                        result -> {
                            storeAvailability.onResult(result);
                            boolean isUnclear = wasUnclear || result instanceof WriteResult.Unclear;
                            boolean isRejected =
                                    result instanceof WriteResult.NotWritten failed
                                            && isRejected(key, failed);
                            if (result instanceof WriteResult.Written) {
                                done.complete(CreateResult.CREATED);
                            } else if (result instanceof WriteResult.Conflict) {
                                done.complete(CreateResult.EXISTED);
                            } else if (isRejected
                                    || System.nanoTime() + RETRY_DELAY.toNanos() >= deadline) {
                                done.complete(
                                        isUnclear
                                                ? CreateResult.UNCLEAR
                                                : CreateResult.NOT_CREATED);
                            } else {
                                loop.schedule(
                                        () -> create(key, value, deadline, isUnclear, done),
                                        RETRY_DELAY.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        loop);
    }

    /** Whether a write was rejected for its content, so that a retry is useless; logs it if so. */
    private static boolean isRejected(ObjectKey key, WriteResult.NotWritten failed) {
        if (failed.isRejected()) {
            WorkerMetrics.countRejectedWrite();
            LogEvent.of("store.value_rejected")
                    .with("object", key.name())
                    .with("reason", failed.reason())
                    .error();
        }
        return failed.isRejected();
    }

    /** Creates a record under its number, without retries. */
    CompletableFuture<WriteResult> createRecord(String job, int number, List<RecordEntry> entries) {
        return store.write(
                        new JobObject.Record(job, number).key(),
                        ObjectStore.ABSENT_VERSION,
                        JobCodec.encodeRecord(entries))
                .thenApplyAsync(
                        result -> {
                            storeAvailability.onResult(result);
                            return result;
                        },
                        loop);
    }

    CompletableFuture<ReadResult> read(JobObject object) {
        return store.read(object.key())
                .thenApplyAsync(
                        result -> {
                            storeAvailability.onResult(result);
                            return result;
                        },
                        loop);
    }

    CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return store.delete(key, version);
    }
}
