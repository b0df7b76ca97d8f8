package org.sardinelift.gateway.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.runtime.log.Event;

/** All jobs as far as their objects are known to this worker; on the event loop. */
final class JobRegistry {
    private final JobApi jobInterface;
    private final Map<String, JobProgress> jobs = new HashMap<>();
    private final Map<String, Map<Integer, String>> parts = new HashMap<>();
    private final Map<String, Map<Integer, String>> early = new HashMap<>();
    private Consumer<JobProgress> listener = job -> {};
    private Consumer<String> storedListener = job -> {};

    JobRegistry(JobApi jobInterface) {
        this.jobInterface = jobInterface;
    }

    /** Sets who hears of each change of a job. */
    void setChangeListener(Consumer<JobProgress> changed) {
        listener = changed;
    }

    /** Sets who hears of each job whose header is seen in the store. */
    void setStoredListener(Consumer<String> stored) {
        storedListener = stored;
    }

    Optional<JobProgress> find(String job) {
        return Optional.ofNullable(jobs.get(job));
    }

    Collection<JobProgress> all() {
        return jobs.values();
    }

    /** Takes an object as it is stored; an object that was taken before tells nothing. */
    void apply(StoredObject object) {
        Optional<JobObject> named = JobObject.parse(object.key().name());
        if (named.isEmpty()) {
            Event.of("job.unreadable").with("object", object.key().name()).warn();
            return;
        }
        try {
            apply(named.get(), object.value());
        } catch (IllegalArgumentException e) {
            Event.of("job.unreadable")
                    .with("object", object.key().name())
                    .with("reason", e.getMessage())
                    .error();
        }
    }

    private void apply(JobObject object, String value) {
        if (object instanceof JobObject.Header) {
            takeHeader(object.job(), JobCodec.header(value));
        } else if (object instanceof JobObject.Part part) {
            if (!jobs.containsKey(part.job())) {
                parts.computeIfAbsent(part.job(), key -> new TreeMap<>()).put(part.number(), value);
            }
        } else if (object instanceof JobObject.Record recorded) {
            takeRecord(recorded, value);
        } else {
            JobProgress job = jobs.get(object.job());
            if (job == null) {
                early.computeIfAbsent(object.job(), key -> new TreeMap<>()).put(END, "");
            } else {
                onJobEnded(job);
            }
        }
    }

    /** Stands for the end among objects that came before the header of their job. */
    private static final int END = -1;

    private void takeHeader(String job, JobCodec.Header header) {
        storedListener.accept(job);
        if (jobs.containsKey(job)) {
            return;
        }
        Map<Integer, String> held = parts.getOrDefault(job, Map.of());
        if (held.size() < header.parts()) {
            throw new IllegalArgumentException(
                    held.size() + " of " + header.parts() + " parts are known");
        }
        String beginning =
                IntStream.range(0, header.parts())
                        .mapToObj(held::get)
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
                        jobInterface.parseItems(document)));
    }

    /** Takes a job that was accepted here. */
    JobProgress add(JobSpec spec) {
        JobProgress known = jobs.get(spec.id());
        if (known != null) {
            return known;
        }
        JobProgress job = JobProgress.of(spec);
        jobs.put(spec.id(), job);
        parts.remove(spec.id());
        Map<Integer, String> waiting = early.remove(spec.id());
        if (waiting != null) {
            waiting.forEach((number, value) -> takeEarly(job, number, value));
        }
        listener.accept(job);
        return job;
    }

    private void takeEarly(JobProgress job, int number, String value) {
        if (number == END) {
            job.end();
        } else {
            job.applyRecord(number, JobCodec.record(value));
        }
    }

    private void takeRecord(JobObject.Record recorded, String value) {
        JobProgress job = jobs.get(recorded.job());
        if (job == null) {
            early.computeIfAbsent(recorded.job(), key -> new TreeMap<>())
                    .put(recorded.number(), value);
            return;
        }
        if (recorded.number() < job.nextRecord()) {
            return;
        }
        JobProgress.ApplyResult applied =
                job.applyRecord(recorded.number(), JobCodec.record(value));
        if (applied == JobProgress.ApplyResult.GAP) {
            throw new IllegalArgumentException("record " + job.nextRecord() + " is missing");
        }
        listener.accept(job);
    }

    /** Takes a record that was written here. */
    void onRecordWritten(JobProgress job, int number, List<ItemResult> results) {
        if (job.applyRecord(number, results) == JobProgress.ApplyResult.APPLIED) {
            listener.accept(job);
        }
    }

    /** The caller has ended a job. */
    void onJobEnded(JobProgress job) {
        if (!job.hasEnded()) {
            job.end();
            Event.of("job.ended").with("job", job.spec().id()).info();
            listener.accept(job);
        }
    }

    void remove(String job) {
        jobs.remove(job);
        parts.remove(job);
        early.remove(job);
    }
}
