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
 * One look at a job whose removal may be due, and the step that follows from it. Every step may be
 * taken again, by any entry: it changes nothing but what it has seen to hold.
 */
final class JobRemoval {
    /** Version of an object that is written once. */
    private static final long WRITTEN_ONCE = 1;

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

    /** Looks; calls back with whether the expiry was dealt with. */
    void start() {
        fresh(headerKey, this::onHeader);
    }

    private void onHeader(Optional<StoredObject> found) {
        Optional<JobHeader> header =
                found.map(object -> BatchJson.header(object.value()))
                        .filter(own -> own.createdMs() == expiry.createdMs());
        if (header.isEmpty()) {
            erase(chunks(), WRITTEN_ONCE, this::finish);
            return;
        }
        fresh(
                StateCell.key(expiry.id()),
                state -> onState(header.get(), found.get().version(), state));
    }

    private void onState(JobHeader header, long version, Optional<StoredObject> state) {
        fresh(
                OpenJobs.Marker.key(expiry.id()),
                marker -> decide(new Found(header, version, state, marker)));
    }

    /** The objects of the job that may change, as they certainly were at one moment. */
    private record Found(
            JobHeader header,
            long version,
            Optional<StoredObject> state,
            Optional<StoredObject> marker) {
        Optional<JobState> jobState() {
            return state.map(object -> BatchJson.state(object.value()));
        }
    }

    private void decide(Found found) {
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
            lookAgain(wait.dueMs());
        } else if (step instanceof RetentionPolicy.Retire) {
            eraseMarker(found, () -> advance(found, RemovalStage.RETIRED));
        } else if (step instanceof RetentionPolicy.DeleteObjects) {
            empty(found);
        } else {
            erase(List.of(headerKey), found.version(), this::finish);
        }
    }

    private void eraseMarker(Found found, Runnable next) {
        found.marker()
                .ifPresentOrElse(
                        marker -> erase(List.of(marker.key()), marker.version(), next), next);
    }

    private void empty(Found found) {
        List<ObjectKey> objects = new ArrayList<>(chunks());
        found.jobState().ifPresent(state -> objects.addAll(results(state)));
        erase(
                objects,
                WRITTEN_ONCE,
                () -> eraseLeftovers(() -> eraseMarker(found, () -> eraseState(found))));
    }

    private void eraseState(Found found) {
        Runnable next = () -> advance(found, RemovalStage.EMPTIED);
        found.state()
                .ifPresentOrElse(state -> erase(List.of(state.key()), state.version(), next), next);
    }

    /** Deletes results of attempts that did not hold. */
    private void eraseLeftovers(Runnable next) {
        pace(
                () ->
                        store.list(
                                ResultWriter.KIND,
                                expiry.id() + "/",
                                result -> {
                                    if (result instanceof ListResult.Listed listed) {
                                        List<ObjectKey> left =
                                                listed.objects().stream()
                                                        .map(StoredObject::key)
                                                        .toList();
                                        erase(left, WRITTEN_ONCE, next);
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private List<ObjectKey> chunks() {
        return IntStream.range(0, expiry.chunks()).mapToObj(expiry::chunk).toList();
    }

    private List<ObjectKey> results(JobState state) {
        return state.chunks().entrySet().stream()
                .flatMap(chunk -> ResultWriter.keys(expiry.id(), chunk.getKey(), chunk.getValue()))
                .toList();
    }

    private void advance(Found found, RemovalStage stage) {
        long now = nowMs();
        String value = BatchJson.header(found.header().at(stage, now));
        pace(
                () ->
                        store.write(
                                headerKey,
                                found.version(),
                                value,
                                result -> {
                                    if (result instanceof WriteResult.Written) {
                                        Logger.info("{} is {}", expiry.id(), stage);
                                        lookAgain(now + settings.retention().stepDelayMs());
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private void lookAgain(long dueMs) {
        Expiry next = expiry.at(Math.max(dueMs, nowMs() + 2 * Expiry.BUCKET_MS));
        pace(
                () ->
                        store.create(
                                next.key(),
                                next.json(),
                                settings.acceptAttempts(),
                                creation -> {
                                    if (creation.present()) {
                                        finish();
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    private void finish() {
        erase(List.of(expiry.key()), WRITTEN_ONCE, () -> done.accept(true));
    }

    /** Deletes objects one after another; one that is gone or was written anew is left. */
    private void erase(List<ObjectKey> keys, long version, Runnable next) {
        if (keys.isEmpty()) {
            next.run();
            return;
        }
        pace(
                () ->
                        store.delete(
                                keys.get(0),
                                version,
                                result -> {
                                    if (result instanceof WriteResult.Written
                                            || result instanceof WriteResult.Conflict) {
                                        erase(keys.subList(1, keys.size()), version, next);
                                    } else {
                                        done.accept(false);
                                    }
                                }));
    }

    /**
     * Reads an object and makes sure of it: a read may be stale, but the answer to a deletion that
     * can't succeed tells the version in force.
     */
    private void fresh(ObjectKey key, Consumer<Optional<StoredObject>> next) {
        pace(
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
        pace(
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

    /** Makes a call after the pause, unless what was seen is too old to act on. */
    private void pace(Runnable call) {
        store.control()
                .schedule(
                        settings.sweepPause(),
                        () -> {
                            long age = store.control().nanos() - startedNanos;
                            if (age > settings.removalHold().toNanos() / 2) {
                                Logger.info(
                                        "The look at {} took too long; it is begun again",
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
