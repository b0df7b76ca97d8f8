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
import org.sardinelift.runtime.log.Event;

/** Records results, for each job one record after the other. On the event loop. */
final class JobRecorder {
    /** Results of one job that end within this time share a record. */
    private static final Duration GATHER = Duration.ofMillis(40);

    private static final Duration RETRY = Duration.ofMillis(200);
    private static final int MAX_RECORD_CHARS = 400_000;

    private final JobStorage storage;
    private final JobRegistry book;
    private final EventLoop loop;
    private final Predicate<String> isPending;
    private final Set<String> recording = new HashSet<>();

    /**
     * Makes a recorder.
     *
     * @param isPending whether a job is not in the store yet: its records must not come before it
     */
    JobRecorder(JobStorage storage, JobRegistry book, EventLoop loop, Predicate<String> isPending) {
        this.isPending = isPending;
        this.storage = storage;
        this.book = book;
        this.loop = loop;
    }

    /** Results of the job wait to be recorded. */
    void scheduleRecording(JobProgress job) {
        if (recording.add(job.spec().id())) {
            later(GATHER, job);
        }
    }

    /** Whether any result waits to be recorded. */
    boolean isIdle() {
        return recording.isEmpty();
    }

    private void later(Duration pause, JobProgress job) {
        loop.schedule(() -> record(job), pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void record(JobProgress job) {
        List<ItemResult> batch = job.unrecordedResults(MAX_RECORD_CHARS);
        if (batch.isEmpty() || job.hasEnded()) {
            recording.remove(job.spec().id());
            return;
        }
        if (isPending.test(job.spec().id())) {
            later(RETRY, job);
            return;
        }
        int number = job.nextRecord();
        storage.createRecord(job.spec().id(), number, batch)
                .thenAccept(result -> onResult(job, number, batch, result));
    }

    private void onResult(JobProgress job, int number, List<ItemResult> batch, WriteResult result) {
        if (result instanceof WriteResult.Written) {
            book.onRecordWritten(job, number, batch);
            long ageMs = System.currentTimeMillis() - job.spec().submittedMs();
            batch.forEach(each -> WorkerMetrics.observeResultAge(ageMs));
            Event.of("job.recorded")
                    .with("job", job.spec().id())
                    .with("record", number)
                    .with("results", batch.size())
                    .with("positions", job.filledPositions())
                    .info();
            record(job);
        } else if (result instanceof WriteResult.Conflict) {
            readOther(job, number);
        } else {
            later(RETRY, job);
        }
    }

    /** The record is there: written by another worker, or here with the answer lost. */
    private void readOther(JobProgress job, int number) {
        JobObject.Record object = new JobObject.Record(job.spec().id(), number);
        storage.read(object)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                book.apply(found.object());
                                Event.of("job.record_found")
                                        .with("job", job.spec().id())
                                        .with("record", number)
                                        .info();
                                record(job);
                            } else {
                                later(RETRY, job);
                            }
                        });
    }
}
