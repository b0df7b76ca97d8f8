package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.JobCounts;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ReadResult;

/** Serves jobs and results to callers; any entry can do so for any job. */
final class JobReader {
    private static final int OK = 200;
    private static final int MAX_LISTED = 100;

    private final JobStore store;
    private final BatchSettings settings;

    JobReader(JobStore store, BatchSettings settings) {
        this.store = store;
        this.settings = settings;
    }

    /** Receives the lines of results. Called on the control thread. */
    interface ResultSink {
        void refuse(Reply reply);

        void write(byte[] lines);

        /** Whether the connection accepts more data now. */
        boolean isWritable();

        boolean isOpen();

        void end();

        /** Ends without completing, so that the caller sees a truncated response. */
        void abort();
    }

    /** Finds the header of a team's job. */
    void findHeader(String team, String id, Consumer<JobHeader> found, Consumer<Reply> otherwise) {
        store.read(
                JobHeader.key(team, id),
                settings.acceptAttempts(),
                read -> {
                    if (read instanceof ReadResult.Unavailable) {
                        otherwise.accept(unavailableReply());
                        return;
                    }
                    liveHeader(read)
                            .ifPresentOrElse(found, () -> otherwise.accept(notFoundReply(id)));
                });
    }

    private static Optional<JobHeader> liveHeader(ReadResult read) {
        return read instanceof ReadResult.Found object
                ? Optional.of(BatchJson.header(object.object().value()))
                        .filter(header -> header.stage() == RemovalStage.LIVE)
                : Optional.empty();
    }

    void status(String team, String id, Consumer<Reply> done) {
        findHeader(team, id, header -> status(header, done), done);
    }

    void status(JobHeader header, Consumer<Reply> done) {
        readState(header, state -> done.accept(Reply.of(OK, statusJson(header, state))), done);
    }

    /** Reads the state of a job; a job that was never claimed has only a marker. */
    void readState(JobHeader header, Consumer<JobState> found, Consumer<Reply> otherwise) {
        store.read(
                JobStateUpdater.key(header.id()),
                settings.acceptAttempts(),
                read -> {
                    if (read instanceof ReadResult.Found object) {
                        found.accept(BatchJson.state(object.object().value()));
                    } else if (read instanceof ReadResult.Absent) {
                        readUnclaimedState(header, found, otherwise);
                    } else {
                        otherwise.accept(unavailableReply());
                    }
                });
    }

    private void readUnclaimedState(
            JobHeader header, Consumer<JobState> found, Consumer<Reply> otherwise) {
        store.read(
                OpenJobs.Marker.key(header.id()),
                settings.acceptAttempts(),
                read -> {
                    if (read instanceof ReadResult.Found) {
                        found.accept(JobClaimer.initialState(header));
                    } else if (read instanceof ReadResult.Absent) {
                        otherwise.accept(notAcceptedReply(header));
                    } else {
                        otherwise.accept(unavailableReply());
                    }
                });
    }

    /** Lists the newest jobs of a team. */
    void listJobs(String team, Consumer<Reply> done) {
        store.list(
                JobHeader.KIND,
                team + "/",
                result -> {
                    if (!(result instanceof ListResult.Listed listed)) {
                        done.accept(unavailableReply());
                        return;
                    }
                    List<JobHeader> newest =
                            listed.objects().stream()
                                    .map(object -> BatchJson.header(object.value()))
                                    .filter(header -> header.stage() == RemovalStage.LIVE)
                                    .sorted(
                                            Comparator.comparingLong(JobHeader::createdMs)
                                                    .reversed()
                                                    .thenComparing(JobHeader::id))
                                    .limit(MAX_LISTED)
                                    .toList();
                    ObjectNode body = BatchJson.newObject().put("object", "list");
                    statusJson(newest, 0, body.putArray("data"), body, done);
                });
    }

    private void statusJson(
            List<JobHeader> headers,
            int index,
            ArrayNode data,
            ObjectNode body,
            Consumer<Reply> done) {
        if (index == headers.size()) {
            done.accept(Reply.of(OK, body));
            return;
        }
        Runnable next = () -> statusJson(headers, index + 1, data, body, done);
        readState(
                headers.get(index),
                state -> {
                    data.add(statusJson(headers.get(index), state));
                    next.run();
                },
                refusal -> {
                    if (refusal.status() == ProblemKind.NOT_FOUND.status()) {
                        next.run();
                    } else {
                        done.accept(refusal);
                    }
                });
    }

    /** Encodes the status of a job for callers. */
    ObjectNode statusJson(JobHeader header, JobState state) {
        JobCounts counts = state.counts();
        ObjectNode node = BatchJson.newObject().put("id", header.id()).put("object", "batch");
        node.put("job_key", header.jobKey()).put("status", state.phase().label());
        node.put("created_at", header.createdMs() / 1000);
        if (header.dueMs() == Long.MAX_VALUE) {
            node.putNull("due");
        } else {
            node.put("due", Instant.ofEpochMilli(header.dueMs()).toString());
        }
        node.putObject("request_counts")
                .put("total", counts.accepted())
                .put("completed", counts.completed())
                .put("failed", counts.failed())
                .put("cancelled", counts.cancelled())
                .put("open", counts.open());
        node.put("holder", state.holder().instance()).put("fence", state.fence());
        node.set("late_risk", lateRisk(header, state));
        return node;
    }

    private ObjectNode lateRisk(JobHeader header, JobState state) {
        long expected = state.phase().isTerminal() ? 0 : state.expectedEndMs();
        long due = header.dueMs();
        boolean overdue = !state.phase().isTerminal() && store.control().epochMillis() > due;
        ObjectNode node = BatchJson.newObject().put("late", overdue || expected > due);
        if (expected == 0) {
            node.putNull("expected_end");
        } else {
            node.put("expected_end", Instant.ofEpochMilli(expected).toString());
        }
        node.put("open", state.counts().open());
        return node;
    }

    /** Streams the results that exist so far, in the order of the input. */
    void streamResults(String team, String id, ResultSink sink) {
        findHeader(
                team,
                id,
                header ->
                        readState(
                                header,
                                state -> new ResultStream(header, state, sink).writeNext(),
                                sink::refuse),
                sink::refuse);
    }

    private Reply notFoundReply(String id) {
        return Reply.problem(Problem.notRun(ProblemKind.NOT_FOUND, "this team has no batch " + id));
    }

    private static Reply notAcceptedReply(JobHeader header) {
        return Reply.problem(
                Problem.notRun(
                        ProblemKind.NOT_FOUND,
                        "the batch with the job key "
                                + header.jobKey()
                                + " was not accepted in full; send it again"));
    }

    Reply unavailableReply() {
        return Reply.problem(
                Problem.notRun(
                        ProblemKind.PLATFORM_UNAVAILABLE,
                        "the platform does not answer",
                        settings.retryAfter()));
    }

    /** Streams the results of one job to one caller. */
    private final class ResultStream {
        private final JobHeader header;
        private final JobState state;
        private final ResultSink sink;
        private int chunk;
        private int part;

        ResultStream(JobHeader header, JobState state, ResultSink sink) {
            this.header = header;
            this.state = state;
            this.sink = sink;
        }

        void writeNext() {
            if (!sink.isOpen()) {
                return;
            }
            if (!sink.isWritable()) {
                store.control().schedule(settings.pumpPeriod(), this::writeNext);
                return;
            }
            skipUnfinishedChunks();
            if (chunk == header.chunkItems().size()) {
                sink.end();
                return;
            }
            ChunkResult result = state.chunks().get(chunk);
            ObjectKey key =
                    result == null
                            ? header.chunkKey(chunk)
                            : ResultWriter.resultKey(header.id(), chunk, result.writeId(), part);
            store.read(key, settings.acceptAttempts(), read -> onRead(read, result == null));
        }

        private void skipUnfinishedChunks() {
            boolean hasCancelledLines = state.phase() == JobPhase.CANCELLED;
            while (chunk < header.chunkItems().size()
                    && !hasCancelledLines
                    && !state.chunks().containsKey(chunk)) {
                chunk++;
            }
        }

        private void onRead(ReadResult read, boolean isInput) {
            if (!(read instanceof ReadResult.Found found)) {
                sink.abort();
                return;
            }
            String lines = found.object().value();
            sink.write((isInput ? cancelledLines(lines) : lines).getBytes(StandardCharsets.UTF_8));
            part++;
            ChunkResult result = state.chunks().get(chunk);
            if (result == null || part == result.parts()) {
                chunk++;
                part = 0;
            }
            writeNext();
        }

        private String cancelledLines(String inputLines) {
            StringBuilder lines = new StringBuilder();
            inputLines
                    .lines()
                    .map(line -> BatchJson.parseStored(line).path("custom_id").asText())
                    .map(customId -> ResultLine.cancelled(customId, RunOutcome.NOT_RUN))
                    .forEach(line -> lines.append(line.json()).append('\n'));
            return lines.toString();
        }
    }
}
