package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;

/** Creates and reads the objects of jobs. On the event loop. */
final class JobStorage {
    private static final Duration RETRY = Duration.ofMillis(60);

    private final ObjectStore store;
    private final EventLoop loop;
    private final StoreAvailability contact;

    /** What became of a creation. */
    enum CreateResult {
        /** The object is there, created now or before. */
        EXISTS,
        /** The object is not there and won't be. */
        NOT_CREATED,
        /** Nobody can tell. */
        UNCLEAR
    }

    JobStorage(ObjectStore store, EventLoop loop, StoreAvailability contact) {
        this.store = store;
        this.loop = loop;
        this.contact = contact;
    }

    /** Stores a job; it is accepted once the last of its objects is there. */
    CompletableFuture<CreateResult> createJob(
            String job, JobCodec.Header header, String document, long deadline) {
        List<String> pieces = pieces(document);
        int parts = pieces.size() - 1;
        CompletableFuture<CreateResult> stored =
                CompletableFuture.completedFuture(CreateResult.EXISTS);
        for (int i = 0; i < parts; i++) {
            ObjectKey key = new JobObject.Part(job, i).key();
            String piece = pieces.get(i);
            stored = stored.thenCompose(before -> createAfter(before, key, piece, deadline));
        }
        JobCodec.Header whole =
                new JobCodec.Header(
                        header.team(),
                        header.route(),
                        header.host(),
                        header.submittedMs(),
                        parts,
                        pieces.get(parts));
        return stored.thenCompose(
                before ->
                        // Without all of its parts the job was not accepted, whatever became of
                        // the one that is unclear.
                        before == CreateResult.EXISTS
                                ? create(
                                        new JobObject.Header(job).key(),
                                        JobCodec.header(whole),
                                        deadline)
                                : CompletableFuture.completedFuture(CreateResult.NOT_CREATED));
    }

    private CompletableFuture<CreateResult> createAfter(
            CreateResult before, ObjectKey key, String value, long deadline) {
        return before == CreateResult.EXISTS
                ? create(key, value, deadline)
                : CompletableFuture.completedFuture(before);
    }

    private static List<String> pieces(String document) {
        List<String> pieces = new ArrayList<>();
        int from = 0;
        while (document.length() - from > JobCodec.MAX_DOCUMENT_PART_CHARS) {
            pieces.add(document.substring(from, from + JobCodec.MAX_DOCUMENT_PART_CHARS));
            from += JobCodec.MAX_DOCUMENT_PART_CHARS;
        }
        pieces.add(document.substring(from));
        return pieces;
    }

    CompletableFuture<CreateResult> createEnd(String job, long deadline) {
        return create(new JobObject.End(job).key(), "{}", deadline);
    }

    /** Creates an object, again after failures until the deadline. */
    private CompletableFuture<CreateResult> create(ObjectKey key, String value, long deadline) {
        CompletableFuture<CreateResult> done = new CompletableFuture<>();
        create(key, value, deadline, false, done);
        return done;
    }

    private void create(
            ObjectKey key,
            String value,
            long deadline,
            boolean unclearBefore,
            CompletableFuture<CreateResult> done) {
        store.write(key, ObjectStore.ABSENT, value)
                .thenAcceptAsync(
                        result -> {
                            contact.onResult(result);
                            boolean unclear =
                                    unclearBefore || result instanceof WriteResult.Unclear;
                            boolean exists =
                                    result instanceof WriteResult.Written
                                            || result instanceof WriteResult.Conflict;
                            if (exists) {
                                done.complete(CreateResult.EXISTS);
                            } else if (System.nanoTime() + RETRY.toNanos() >= deadline) {
                                done.complete(
                                        unclear ? CreateResult.UNCLEAR : CreateResult.NOT_CREATED);
                            } else {
                                loop.schedule(
                                        () -> create(key, value, deadline, unclear, done),
                                        RETRY.toMillis(),
                                        TimeUnit.MILLISECONDS);
                            }
                        },
                        loop);
    }

    /** Creates a record under its number, once. */
    CompletableFuture<WriteResult> createRecord(String job, int number, List<ItemResult> results) {
        return store.write(
                        new JobObject.Record(job, number).key(),
                        ObjectStore.ABSENT,
                        JobCodec.record(results))
                .thenApplyAsync(
                        result -> {
                            contact.onResult(result);
                            return result;
                        },
                        loop);
    }

    CompletableFuture<ReadResult> read(JobObject object) {
        return store.read(object.key())
                .thenApplyAsync(
                        result -> {
                            contact.onResult(result);
                            return result;
                        },
                        loop);
    }

    CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return store.delete(key, version);
    }
}
