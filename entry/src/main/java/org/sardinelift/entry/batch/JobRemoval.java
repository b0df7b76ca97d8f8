package org.sardinelift.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.core.batch.RetentionPolicy;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.tinylog.Logger;

/**
 * Checks one job whose removal may be due and performs the next step of the removal. Any entry may
 * repeat a step, because it changes objects only at the expected version.
 */
final class JobRemoval {
    /** Version of an object that is written only once. */
    private static final long WRITTEN_ONCE_VERSION = 1;

    private final JobStore store;
    private final BatchSettings settings;
    private final Expiry expiry;
    private final Consumer<Boolean> done;
    private final ObjectKey headerKey;
    private final long startedNanos;

    JobRemoval(JobStore store, BatchSettings settings, Expiry expiry, Consumer<Boolean> done) {
        this.store = store;
        this.settings = settings;
        this.expiry = expiry;
        this.done = done;
        this.headerKey = JobHeader.key(expiry.team(), expiry.id());
        this.startedNanos = store.control().nanos();
    }

    /** Starts the check; the callback receives whether the expiry was processed. */
    void start() {
        readConfirmed(headerKey, this::onHeader);
    }

    private void onHeader(Optional<StoredObject> found) {
        Optional<JobHeader> header =
                found.map(object -> BatchJson.header(object.value()))
                        .filter(candidate -> candidate.createdMs() == expiry.createdMs());
        if (header.isEmpty()) {
            deleteEach(chunkKeys(), WRITTEN_ONCE_VERSION, this::finish);
            return;
        }
        readConfirmed(
                JobStateUpdater.key(expiry.id()),
                state -> onState(header.get(), found.get().version(), state));
    }

    private void onState(JobHeader header, long version, Optional<StoredObject> state) {
        readConfirmed(
                OpenJobs.Marker.key(expiry.id()),
                marker -> decide(new JobObjects(header, version, state, marker)));
    }

    /** The mutable objects of the job, each confirmed not to come from a stale read. */
    private record JobObjects(
            JobHeader header,
            long version,
            Optional<StoredObject> state,
            Optional<StoredObject> marker) {
        Optional<JobState> jobState() {
            return state.map(object -> BatchJson.state(object.value()));
        }
    }

    private void decide(JobObjects found) {
        JobHeader header = found.header();
        RetentionPolicy.Step step =
                settings.retention()
                        .nextStep(
                                new RetentionPolicy.JobInfo(
                                        header.stage(),
                                        header.stageMs(),
                                        header.createdMs(),
                                        found.jobState(),
                                        found.marker().isPresent()),
                                expiry.dueMs(),
                                nowMs());
        if (step instanceof RetentionPolicy.Wait wait) {
            reschedule(wait.dueMs());
        } else if (step instanceof RetentionPolicy.Retire) {
            deleteMarker(found, () -> advanceStage(found, RemovalStage.RETIRED));
        } else if (step instanceof RetentionPolicy.DeleteObjects) {
            deleteObjects(found);
        } else {
            deleteEach(List.of(headerKey), found.version(), this::finish);
        }
    }

    private void deleteMarker(JobObjects found, Runnable next) {
        found.marker()
                .ifPresentOrElse(
                        marker -> deleteEach(List.of(marker.key()), marker.version(), next), next);
    }

    private void deleteObjects(JobObjects found) {
        List<ObjectKey> objects = new ArrayList<>(chunkKeys());
        found.jobState().ifPresent(state -> objects.addAll(resultKeys(state)));
        deleteEach(
                objects,
                WRITTEN_ONCE_VERSION,
                () ->
                        deleteUncommittedResults(
                                () -> deleteMarker(found, () -> deleteState(found))));
    }

    private void deleteState(JobObjects found) {
        Runnable next = () -> advanceStage(found, RemovalStage.EMPTIED);
        found.state()
                .ifPresentOrElse(
                        state -> deleteEach(List.of(state.key()), state.version(), next), next);
    }

    /** Deletes the results of attempts that were never committed. */
    private void deleteUncommittedResults(Runnable next) {
        callAfterPause(
                () ->
                        store.list(
                                ResultWriter.KIND,
                                expiry.id() + "/",
                                result -> {
                                    if (result instanceof ListResult.Listed listed) {
                                        List<ObjectKey> uncommitted =
                                                listed.objects().stream()
                                                        .map(StoredObject::key)
                                                        .toList();
                                        deleteEach(uncommitted, WRITTEN_ONCE_VERSION, next);
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private List<ObjectKey> chunkKeys() {
        return IntStream.range(0, expiry.chunkCount()).mapToObj(expiry::chunkKey).toList();
    }

    private List<ObjectKey> resultKeys(JobState state) {
        return state.chunks().entrySet().stream()
                .flatMap(
                        chunk ->
                                ResultWriter.resultKeys(
                                        expiry.id(), chunk.getKey(), chunk.getValue()))
                .toList();
    }

    private void advanceStage(JobObjects found, RemovalStage stage) {
        long now = nowMs();
        String value = BatchJson.header(found.header().withStage(stage, now));
        callAfterPause(
                () ->
                        store.write(
                                headerKey,
                                found.version(),
                                value,
                                result -> {
                                    if (result instanceof WriteResult.Written) {
                                        Logger.info(
                                                "Removal of job {} has reached stage {}",
                                                expiry.id(),
                                                stage);
                                        reschedule(now + settings.retention().stepDelayMs());
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private void reschedule(long dueMs) {
        Expiry next = expiry.withDueMs(Math.max(dueMs, nowMs() + 2 * Expiry.BUCKET_MS));
        callAfterPause(
                () ->
                        store.create(
                                next.key(),
                                next.toJson(),
                                settings.acceptAttempts(),
                                creation -> {
                                    if (creation.isPresent()) {
                                        finish();
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private void finish() {
        deleteEach(List.of(expiry.key()), WRITTEN_ONCE_VERSION, () -> done.accept(true));
    }

    /** Deletes objects one after another; skips one that is gone or has another version. */
    private void deleteEach(List<ObjectKey> keys, long version, Runnable next) {
        if (keys.isEmpty()) {
            next.run();
            return;
        }
        callAfterPause(
                () ->
                        store.delete(
                                keys.get(0),
                                version,
                                result -> {
                                    if (result instanceof WriteResult.Written
                                            || result instanceof WriteResult.Conflict) {
                                        deleteEach(keys.subList(1, keys.size()), version, next);
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    /**
     * Reads an object and confirms that the read was not stale: a deletion that cannot succeed is
     * answered with the current version.
     */
    private void readConfirmed(ObjectKey key, Consumer<Optional<StoredObject>> next) {
        callAfterPause(
                () ->
                        store.read(
                                key,
                                read -> {
                                    if (read instanceof ReadResult.Unavailable) {
                                        done.accept(false);
                                        return;
                                    }
                                    confirm(
                                            key,
                                            read instanceof ReadResult.Found found
                                                    ? Optional.of(found.object())
                                                    : Optional.empty(),
                                            next);
                                }));
    }

    private void confirm(
            ObjectKey key, Optional<StoredObject> read, Consumer<Optional<StoredObject>> next) {
        long version = read.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
        callAfterPause(
                () ->
                        store.delete(
                                key,
                                Long.MAX_VALUE,
                                result -> {
                                    if (result instanceof WriteResult.Conflict conflict
                                            && conflict.actualVersion() == version) {
                                        next.accept(read);
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    /** Makes a call after the pause, unless the objects were read too long ago to act on. */
    private void callAfterPause(Runnable call) {
        store.control()
                .schedule(
                        settings.sweepPause(),
                        () -> {
                            long age = store.control().nanos() - startedNanos;
                            if (age > settings.removalStepDelay().toNanos() / 2) {
                                Logger.info(
                                        "Check of {} took over half of removalHoldMs; restarting",
                                        expiry.id());
                                done.accept(false);
                            } else {
                                call.run();
                            }
                        });
    }

    private long nowMs() {
        return store.control().epochMillis();
    }
}
