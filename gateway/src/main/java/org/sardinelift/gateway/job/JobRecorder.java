package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.RecordEntry;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/** Writes results to the store, one record of a job at a time. On the event loop. */
final class JobRecorder {
    /** Results of a job that arrive within this time share a record. */
    private static final Duration RECORD_BATCH_DELAY = Duration.ofMillis(40);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** A record that the store rejects even at this size can't be split any further. */
    private static final int MIN_RECORD_BYTES = 1_000;

    private static final Duration REJECTED_RETRY_DELAY = Duration.ofSeconds(5);

    private final JobStorage storage;
    private final JobRegistry jobs;
    private final EventLoop loop;
    private final Predicate<String> isAwaitingStore;
    private final Set<String> recordingJobs = new HashSet<>();

    /** Sizes to which the records of jobs are reduced after the store has rejected larger ones. */
    private final Map<String, Integer> reducedSizes = new HashMap<>();

    private final String series;

    /**
     * Creates a recorder.
     *
     * @param series name that no other worker or process uses, which marks the parts of results
     *     that this one records
     * @param isAwaitingStore whether a job is not stored yet, so that its records must wait
     */
    JobRecorder(
            JobStorage storage,
            JobRegistry jobs,
            EventLoop loop,
            String series,
            Predicate<String> isAwaitingStore) {
        this.series = series;
        this.isAwaitingStore = isAwaitingStore;
        this.storage = storage;
        this.jobs = jobs;
        this.loop = loop;
    }

    /** Schedules the recording of a job's results, unless it is scheduled or running. */
    void scheduleRecording(JobProgress job) {
        if (recordingJobs.add(job.spec().id())) {
            recordAfter(RECORD_BATCH_DELAY, job);
        }
    }

    /** Whether no result waits to be recorded. */
    boolean isIdle() {
        return recordingJobs.isEmpty();
    }

    private void recordAfter(Duration delay, JobProgress job) {
        loop.schedule(() -> record(job), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void record(JobProgress job) {
        String id = job.spec().id();
        List<RecordEntry> entries = job.nextEntries(maxRecordBytes(id), series);
        if (entries.isEmpty() || job.hasEnded()) {
            recordingJobs.remove(id);
            return;
        }
        if (isAwaitingStore.test(id)) {
            recordAfter(RETRY_DELAY, job);
            return;
        }
        int number = job.nextRecord();
        storage.createRecord(id, number, entries)
                .thenAccept(result -> onResult(job, number, entries, result));
    }

    private int maxRecordBytes(String job) {
        return reducedSizes.getOrDefault(job, JobCodec.MAX_PART_BYTES);
    }

    private void onResult(
            JobProgress job, int number, List<RecordEntry> entries, WriteResult result) {
        if (result instanceof WriteResult.Written) {
            jobs.onRecordWritten(job, number, entries);
            long ageMs = System.currentTimeMillis() - job.spec().submittedMs();
            entries.stream()
                    .filter(RecordEntry::isLast)
                    .forEach(each -> WorkerMetrics.observeResultAge(ageMs));
            LogEvent.of("job.recorded")
                    .with("job", job.spec().id())
                    .with("record", number)
                    .with("results", entries.stream().filter(RecordEntry::isLast).count())
                    .with("positions", job.filledPositions())
                    .info();
            record(job);
        } else if (result instanceof WriteResult.Conflict) {
            readExisting(job, number);
        } else if (result instanceof WriteResult.NotWritten failed && failed.isRejected()) {
            onRejected(job, number, failed.reason());
        } else {
            recordAfter(RETRY_DELAY, job);
        }
    }

    /** A record that was rejected for its content would be rejected again: writes a smaller one. */
    private void onRejected(JobProgress job, int number, String reason) {
        String id = job.spec().id();
        int size = maxRecordBytes(id);
        boolean canBeSplit = size > MIN_RECORD_BYTES;
        WorkerMetrics.countRejectedWrite();
        LogEvent.of("job.record_rejected")
                .with("job", id)
                .with("record", number)
                .with("max_bytes", size)
                .with("reason", reason)
                .error();
        reducedSizes.keySet().removeIf(each -> jobs.find(each).isEmpty());
        reducedSizes.put(id, Math.max(MIN_RECORD_BYTES, size / 2));
        recordAfter(canBeSplit ? Duration.ZERO : REJECTED_RETRY_DELAY, job);
    }

    /** Reads a record that another worker has written, or this one with the answer lost. */
    private void readExisting(JobProgress job, int number) {
        JobObject.Record object = new JobObject.Record(job.spec().id(), number);
        storage.read(object)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                jobs.apply(found.object());
                                LogEvent.of("job.record_found")
                                        .with("job", job.spec().id())
                                        .with("record", number)
                                        .info();
                                record(job);
                            } else {
                                recordAfter(RETRY_DELAY, job);
                            }
                        });
    }
}
