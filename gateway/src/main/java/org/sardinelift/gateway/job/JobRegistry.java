package org.sardinelift.gateway.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.core.joblog.RecordEntry;
import org.sardinelift.gateway.feed.FeedGuard;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.runtime.log.LogEvent;

/** The jobs known to this worker, built from their stored objects; on the event loop. */
final class JobRegistry {
    private static final int LAST_RANK = 3;
    private static final Comparator<StoredObject> APPLY_ORDER =
            Comparator.comparingInt(JobRegistry::rank).thenComparingLong(StoredObject::revision);

    private final JobApi jobApi;
    private final Map<String, JobProgress> jobs = new HashMap<>();
    private final Map<String, Map<Integer, String>> documentParts = new HashMap<>();
    private final Map<String, Map<Integer, String>> waitingObjects = new HashMap<>();
    private Consumer<JobProgress> changeListener = job -> {};
    private Consumer<String> storedListener = job -> {};

    /** Jobs whose change is reported once the objects read together with theirs are applied. */
    private @Nullable Set<JobProgress> unreportedChanges;

    JobRegistry(JobApi jobApi) {
        this.jobApi = jobApi;
    }

    /** Sets the listener notified of each change of a job. */
    void setChangeListener(Consumer<JobProgress> listener) {
        changeListener = listener;
    }

    /** Sets the listener notified of each job whose header is found in the store. */
    void setStoredListener(Consumer<String> listener) {
        storedListener = listener;
    }

    Optional<JobProgress> find(String job) {
        return Optional.ofNullable(jobs.get(job));
    }

    Collection<JobProgress> all() {
        return jobs.values();
    }

    /**
     * Applies objects that were read together, and reports changes afterwards: a job that has ended
     * must not look open until its end is applied.
     */
    void applyAll(Collection<StoredObject> objects) {
        Set<JobProgress> changed = new LinkedHashSet<>();
        unreportedChanges = changed;
        objects.stream().sorted(APPLY_ORDER).forEach(this::apply);
        unreportedChanges = null;
        changed.forEach(job -> FeedGuard.run("jobs", () -> changeListener.accept(job)));
    }

    private void reportChange(JobProgress job) {
        if (unreportedChanges == null) {
            changeListener.accept(job);
        } else {
            unreportedChanges.add(job);
        }
    }

    /** Parts come before the headers of their jobs, records and ends after them. */
    private static int rank(StoredObject object) {
        return JobObject.parse(object.key().name())
                .map(
                        parsed ->
                                parsed instanceof JobObject.Part
                                        ? 0
                                        : parsed instanceof JobObject.Header ? 1 : 2)
                .orElse(LAST_RANK);
    }

    /** Applies a stored object; has no effect if it was applied before. */
    void apply(StoredObject object) {
        Optional<JobObject> parsed = JobObject.parse(object.key().name());
        if (parsed.isEmpty()) {
            LogEvent.of("job.unreadable").with("object", object.key().name()).warn();
            return;
        }
        try {
            apply(parsed.get(), object.value());
        } catch (RuntimeException e) {
            LogEvent.of("job.unreadable")
                    .with("object", object.key().name())
                    .with("reason", e.toString())
                    .error();
        }
    }

    private void apply(JobObject object, String value) {
        if (object instanceof JobObject.Header) {
            applyHeader(object.job(), JobCodec.decodeHeader(value));
        } else if (object instanceof JobObject.Part part) {
            if (!jobs.containsKey(part.job())) {
                documentParts
                        .computeIfAbsent(part.job(), key -> new TreeMap<>())
                        .put(part.number(), value);
            }
        } else if (object instanceof JobObject.Record recordObject) {
            applyRecord(recordObject, value);
        } else {
            JobProgress job = jobs.get(object.job());
            if (job == null) {
                waitingObjects
                        .computeIfAbsent(object.job(), key -> new TreeMap<>())
                        .put(END_NUMBER, "");
            } else {
                onJobEnded(job);
            }
        }
    }

    /** Number of the end among the objects read before the header of their job. */
    private static final int END_NUMBER = -1;

    private void applyHeader(String job, JobCodec.Header header) {
        storedListener.accept(job);
        if (jobs.containsKey(job)) {
            return;
        }
        Map<Integer, String> parts = documentParts.getOrDefault(job, Map.of());
        if (parts.size() < header.parts()) {
            throw new IllegalArgumentException(
                    parts.size() + " of " + header.parts() + " parts of the document are known");
        }
        String beginning =
                IntStream.range(0, header.parts())
                        .mapToObj(parts::get)
                        .collect(Collectors.joining());
        byte[] document =
                (beginning + header.document()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        add(
                new JobSpec(
                        job,
                        header.team(),
                        header.route(),
                        header.host(),
                        header.submittedMs(),
                        jobApi.parseItems(document)));
    }

    /** Adds a job, unless it is known, and applies the objects that were read before it. */
    JobProgress add(JobSpec spec) {
        JobProgress known = jobs.get(spec.id());
        if (known != null) {
            return known;
        }
        JobProgress job = JobProgress.of(spec);
        jobs.put(spec.id(), job);
        documentParts.remove(spec.id());
        Map<Integer, String> waiting = waitingObjects.remove(spec.id());
        if (waiting != null) {
            waiting.forEach((number, value) -> tryApplyWaiting(job, number, value));
        }
        reportChange(job);
        return job;
    }

    private static void tryApplyWaiting(JobProgress job, int number, String value) {
        try {
            applyWaiting(job, number, value);
        } catch (IllegalArgumentException e) {
            LogEvent.of("job.unreadable")
                    .with("object", job.spec().id() + ", record " + number)
                    .with("reason", e.getMessage())
                    .error();
        }
    }

    private static void applyWaiting(JobProgress job, int number, String value) {
        if (number == END_NUMBER) {
            job.end();
        } else {
            requireNoGap(job, job.applyRecord(number, JobCodec.decodeRecord(value)));
        }
    }

    private static void requireNoGap(JobProgress job, JobProgress.ApplyResult result) {
        if (result == JobProgress.ApplyResult.GAP) {
            throw new IllegalArgumentException("record " + job.nextRecord() + " is missing");
        }
    }

    private void applyRecord(JobObject.Record recordObject, String value) {
        JobProgress job = jobs.get(recordObject.job());
        if (job == null) {
            waitingObjects
                    .computeIfAbsent(recordObject.job(), key -> new TreeMap<>())
                    .put(recordObject.number(), value);
            return;
        }
        if (recordObject.number() < job.nextRecord()) {
            return;
        }
        JobProgress.ApplyResult result =
                job.applyRecord(recordObject.number(), JobCodec.decodeRecord(value));
        requireNoGap(job, result);
        reportChange(job);
    }

    /** This worker has written a record. */
    void onRecordWritten(JobProgress job, int number, List<RecordEntry> entries) {
        if (job.applyRecord(number, entries) == JobProgress.ApplyResult.APPLIED) {
            reportChange(job);
        }
    }

    /** The caller has ended a job. */
    void onJobEnded(JobProgress job) {
        if (!job.hasEnded()) {
            job.end();
            LogEvent.of("job.ended").with("job", job.spec().id()).info();
            reportChange(job);
        }
    }

    void remove(String job) {
        jobs.remove(job);
        documentParts.remove(job);
        waitingObjects.remove(job);
    }
}
