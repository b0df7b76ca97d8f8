package org.sardinelift.entry.batch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;

/**
 * Accepts jobs: writes the chunks, then the header, then the marker that makes the job run. Each
 * object is the same whichever entry writes it, so a job that is sent again, even to several
 * entries at once, remains one job.
 */
final class JobAcceptance {
    private static final int PARALLEL_CHUNK_WRITES = 8;
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final JobStore store;
    private final BatchSettings settings;
    private final Supplier<Catalog> catalog;
    private final OpenJobs jobs;
    private final JobReader reader;
    private final AtomicInteger submissions = new AtomicInteger();

    JobAcceptance(
            JobStore store,
            BatchSettings settings,
            Supplier<Catalog> catalog,
            OpenJobs jobs,
            JobReader reader) {
        this.store = store;
        this.settings = settings;
        this.catalog = catalog;
        this.jobs = jobs;
        this.reader = reader;
    }

    /** Accepts a job or refuses it as a whole. */
    void submit(TeamPlan team, String jobKey, long dueMs, byte[] body, Consumer<Reply> done) {
        if (submissions.incrementAndGet() > settings.maxSubmissions()) {
            submissions.decrementAndGet();
            done.accept(
                    Reply.problem(
                            Problem.notRun(
                                    ProblemKind.OVERLOADED,
                                    "this entry accepts at most "
                                            + settings.maxSubmissions()
                                            + " jobs at once",
                                    settings.retryAfter())));
            return;
        }
        Consumer<Reply> release =
                reply -> {
                    submissions.decrementAndGet();
                    done.accept(reply);
                };
        store.control().offload(() -> check(team, jobKey, dueMs, body, release));
    }

    private void check(
            TeamPlan team, String jobKey, long dueMs, byte[] body, Consumer<Reply> done) {
        Submission.CheckResult checked = Submission.check(body, settings, catalog.get(), team);
        if (checked instanceof Submission.CheckResult.Refused refused) {
            done.accept(refused.reply());
        } else if (checked instanceof Submission.CheckResult.Valid job) {
            JobHeader header =
                    JobHeader.accepted(
                            team.name(),
                            jobKey,
                            job.digest(),
                            job.chunks().stream().map(List::size).toList(),
                            store.control().epochMillis(),
                            dueMs);
            store.control().execute(() -> new SubmissionWriter(header, job.chunks(), done).start());
        }
    }

    /** Writes one submission to the platform. */
    private final class SubmissionWriter {
        private final JobHeader header;
        private final List<List<Submission.StoredLine>> chunks;
        private final Consumer<Reply> done;
        private int nextChunk;
        private int writtenChunks;
        private boolean isRefused;
        private final long startedNanos = store.control().nanos();

        SubmissionWriter(
                JobHeader header, List<List<Submission.StoredLine>> chunks, Consumer<Reply> done) {
            this.header = header;
            this.chunks = chunks;
            this.done = done;
        }

        void start() {
            store.read(header.key(), settings.acceptAttempts(), this::onFound);
        }

        private void onFound(ReadResult read) {
            if (read instanceof ReadResult.Found found) {
                onExisting(found.object());
            } else if (read instanceof ReadResult.Unavailable) {
                replyUnavailable(RunOutcome.NOT_RUN);
            } else {
                Expiry expiry =
                        Expiry.of(header, header.createdMs() + settings.retention().retentionMs());
                store.create(
                        expiry.key(), expiry.toJson(), settings.acceptAttempts(), this::onExpiry);
            }
        }

        private void onExpiry(JobStore.CreateResult creation) {
            if (!creation.isPresent()) {
                replyUnavailable(RunOutcome.NOT_RUN);
                return;
            }
            for (int i = 0; i < PARALLEL_CHUNK_WRITES; i++) {
                writeChunk();
            }
        }

        private void writeChunk() {
            if (nextChunk == chunks.size() || isRefused) {
                return;
            }
            int number = nextChunk;
            nextChunk++;
            String value =
                    chunks.get(number).stream()
                            .map(Submission.StoredLine::json)
                            .collect(Collectors.joining("\n"));
            store.create(header.chunkKey(number), value, settings.acceptAttempts(), this::onChunk);
        }

        private void onChunk(JobStore.CreateResult creation) {
            if (isRefused) {
                return;
            }
            if (!creation.isPresent()) {
                isRefused = true;
                replyUnavailable(RunOutcome.NOT_RUN);
                return;
            }
            writtenChunks++;
            if (writtenChunks < chunks.size()) {
                writeChunk();
            } else if (store.control().nanos() - startedNanos
                    > settings.removalStepDelay().toNanos()) {
                replyUnavailable(RunOutcome.NOT_RUN);
            } else {
                store.create(
                        header.key(),
                        BatchJson.header(header),
                        settings.acceptAttempts(),
                        this::onHeader);
            }
        }

        private void onHeader(JobStore.CreateResult creation) {
            if (!creation.isPresent()) {
                replyUnavailable(RunOutcome.NOT_RUN);
            } else if (creation == JobStore.CreateResult.CREATED) {
                writeMarker(header, CREATED);
            } else {
                readHeader(1);
            }
        }

        private void readHeader(int attempt) {
            store.read(
                    header.key(),
                    settings.acceptAttempts(),
                    read -> {
                        if (read instanceof ReadResult.Found found) {
                            onExisting(found.object());
                        } else if (attempt < settings.acceptAttempts()) {
                            store.control()
                                    .schedule(
                                            store.backoff().pause(attempt),
                                            () -> readHeader(attempt + 1));
                        } else {
                            replyUnavailable(RunOutcome.UNKNOWN);
                        }
                    });
        }

        private void onExisting(StoredObject object) {
            JobHeader existing = BatchJson.header(object.value());
            if (existing.stage() != RemovalStage.LIVE) {
                refuseWhileRemoved(object);
            } else if (existing.digest().equals(header.digest())) {
                store.read(
                        JobStateUpdater.key(existing.id()),
                        settings.acceptAttempts(),
                        read -> onState(existing, read));
            } else {
                done.accept(
                        Reply.problem(
                                Problem.notRun(
                                        ProblemKind.JOB_KEY_REUSED,
                                        "the job key "
                                                + existing.jobKey()
                                                + " belongs to a job with other content")));
            }
        }

        /**
         * Refuses a job whose key belongs to a job that is being removed. The read may be stale, so
         * the job is reported as not run only if the stage is confirmed.
         */
        private void refuseWhileRemoved(StoredObject object) {
            store.delete(
                    object.key(),
                    Long.MAX_VALUE,
                    result -> {
                        boolean isConfirmed =
                                result instanceof WriteResult.Conflict conflict
                                        && conflict.actualVersion() == object.version();
                        done.accept(
                                Reply.problem(
                                        new Problem(
                                                ProblemKind.CONFLICT,
                                                isConfirmed
                                                        ? RunOutcome.NOT_RUN
                                                        : RunOutcome.UNKNOWN,
                                                "the former job with this job key has expired and"
                                                        + " is being removed; send the job again",
                                                Optional.of(settings.retryAfter()))));
                    });
        }

        private void onState(JobHeader existing, ReadResult read) {
            if (read instanceof ReadResult.Found) {
                reader.status(
                        existing,
                        reply -> done.accept(new Reply(OK, reply.body(), reply.retryAfter())));
            } else if (read instanceof ReadResult.Absent
                    && !settings.retention()
                            .isTooOldToAccept(
                                    existing.createdMs(), store.control().epochMillis())) {
                writeMarker(existing, OK);
            } else {
                replyUnavailable(RunOutcome.UNKNOWN);
            }
        }

        private void writeMarker(JobHeader accepted, int status) {
            OpenJobs.Marker marker = new OpenJobs.Marker(accepted.id(), accepted.team(), false);
            store.create(
                    OpenJobs.Marker.key(accepted.id()),
                    marker.toJson(),
                    settings.acceptAttempts(),
                    creation -> {
                        if (!creation.isPresent()) {
                            replyUnavailable(
                                    creation == JobStore.CreateResult.NOT_WRITTEN
                                                    && status == CREATED
                                            ? RunOutcome.NOT_RUN
                                            : RunOutcome.UNKNOWN);
                            return;
                        }
                        if (creation == JobStore.CreateResult.CREATED) {
                            jobs.onMarkerWritten(marker);
                        }
                        done.accept(
                                Reply.of(
                                        status,
                                        reader.statusJson(
                                                accepted, JobClaimer.initialState(accepted))));
                    });
        }

        private void replyUnavailable(RunOutcome outcome) {
            done.accept(
                    Reply.problem(
                            new Problem(
                                    ProblemKind.PLATFORM_UNAVAILABLE,
                                    outcome,
                                    "the platform did not confirm the job; send it again with the"
                                            + " same job key",
                                    Optional.of(settings.retryAfter()))));
        }
    }
}
