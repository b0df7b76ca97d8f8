package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/** Writes results to the store, one record of a job at a time. On the event loop. */
final class JobRecorder {
    /** Results of a job that arrive within this time share a record. */
    private static final Duration RECORD_BATCH_DELAY = Duration.ofMillis(40);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final int MAX_RECORD_CHARS = 400_000;

    private final JobStorage storage;
    private final JobRegistry jobs;
    private final EventLoop loop;
    private final Predicate<String> isAwaitingStore;
    private final Set<String> recordingJobs = new HashSet<>();

    /**
     * Creates a recorder.
     *
     * @param isAwaitingStore whether a job is not stored yet, so that its records must wait
     */
    JobRecorder(
            JobStorage storage,
            JobRegistry jobs,
            EventLoop loop,
            Predicate<String> isAwaitingStore) {
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
        List<ItemResult> batch = job.unrecordedResults(MAX_RECORD_CHARS);
        if (batch.isEmpty() || job.hasEnded()) {
            recordingJobs.remove(job.spec().id());
            return;
        }
        if (isAwaitingStore.test(job.spec().id())) {
            recordAfter(RETRY_DELAY, job);
            return;
        }
        int number = job.nextRecord();
        storage.createRecord(job.spec().id(), number, batch)
                .thenAccept(result -> onResult(job, number, batch, result));
    }

    private void onResult(JobProgress job, int number, List<ItemResult> batch, WriteResult result) {
        if (result instanceof WriteResult.Written) {
            jobs.onRecordWritten(job, number, batch);
            long ageMs = System.currentTimeMillis() - job.spec().submittedMs();
            batch.forEach(each -> WorkerMetrics.observeResultAge(ageMs));
            LogEvent.of("job.recorded")
                    .with("job", job.spec().id())
                    .with("record", number)
                    .with("results", batch.size())
                    .with("positions", job.filledPositions())
                    .info();
            record(job);
        } else if (result instanceof WriteResult.Conflict) {
            readExisting(job, number);
        } else {
            recordAfter(RETRY_DELAY, job);
        }
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
