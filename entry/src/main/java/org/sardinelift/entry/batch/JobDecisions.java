package org.sardinelift.entry.batch;

import io.prometheus.metrics.core.metrics.Counter;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobCounts;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.explain.JobStatus;

/** Records the decisions about jobs at this entry, and tracks the jobs that it holds. */
public final class JobDecisions {
    private static final int CREATED = 201;

    private static final Counter JOB_DECISIONS =
            Counter.builder()
                    .name("sardinelift_jobs_total")
                    .help("What was decided about jobs at this entry.")
                    .labelNames("decision")
                    .register();

    private final DecisionRecorder decisions;
    private final ConcurrentMap<String, JobStatus> heldJobs = new ConcurrentHashMap<>();

    private JobDecisions(DecisionRecorder decisions) {
        this.decisions = decisions;
    }

    /**
     * Creates a record without jobs.
     *
     * @param decisions recorder of the decisions
     * @return the record
     */
    public static JobDecisions of(DecisionRecorder decisions) {
        return new JobDecisions(decisions);
    }

    /**
     * Returns the jobs that this entry holds; thread-safe.
     *
     * @return their status, ordered by job identifier
     */
    public List<JobStatus> heldJobs() {
        return heldJobs.values().stream()
                .sorted((first, second) -> first.id().compareTo(second.id()))
                .toList();
    }

    void onSubmissionAnswered(String team, String requestId, Reply reply) {
        if (reply.isProblem()) {
            recordDecision(
                    DecisionAction.REFUSED,
                    requestId,
                    reply.body().path("detail").asText(),
                    Map.of("team", team, "kind", reply.body().path("kind").asText()));
            return;
        }
        recordDecision(
                DecisionAction.JOB_ACCEPTED,
                reply.body().path("id").asText(),
                reply.status() == CREATED
                        ? "the whole job is stored in the platform"
                        : "the same job was accepted before",
                Map.of(
                        "team",
                        team,
                        "request",
                        requestId,
                        "items",
                        reply.body().at("/request_counts/total").asText(),
                        "due",
                        reply.body().path("due").asText()));
    }

    void onClaimed(JobHeader header, JobState state, Holder before) {
        boolean isTakenOver = before.isPresent() && !before.equals(state.holder());
        heldJobs.put(
                header.id(),
                new JobStatus(
                        header.id(),
                        header.team(),
                        isTakenOver ? before.instance() : "",
                        state.counts().accepted(),
                        state.counts().open(),
                        header.dueMs(),
                        state.expectedEndMs(),
                        false));
        Map<String, String> figures = new HashMap<>(figures(header.team(), state.counts()));
        figures.put("fence", String.valueOf(state.fence()));
        if (isTakenOver) {
            figures.put("from", before.instance());
        }
        recordDecision(
                isTakenOver ? DecisionAction.JOB_TAKEN_OVER : DecisionAction.JOB_CLAIMED,
                header.id(),
                isTakenOver
                        ? "the lease of its holder lapsed and the job is assigned to this entry"
                        : "the job has no holder and is assigned to this entry",
                Map.copyOf(figures));
    }

    /** Updates the progress of a job; records when it becomes late and when it no longer is. */
    void onProgress(String job, int open, long expectedEndMs, long nowMs) {
        JobStatus before = heldJobs.get(job);
        if (before == null) {
            return;
        }
        JobStatus after = before.withProgress(open, expectedEndMs, nowMs);
        heldJobs.put(job, after);
        if (before.isLate() != after.isLate()) {
            recordDecision(
                    after.isLate() ? DecisionAction.JOB_LATE : DecisionAction.JOB_IN_TIME,
                    job,
                    after.isLate()
                            ? "it is overdue or expected to end after its deadline"
                            : "it is expected to end before its deadline again",
                    Map.of(
                            "team", after.team(),
                            "due", time(after.dueMs()),
                            "expectedEnd", time(Math.max(nowMs, expectedEndMs)),
                            "open", String.valueOf(open)));
        }
    }

    void onRunEnded(JobHeader header, JobState state) {
        heldJobs.remove(header.id());
        DecisionAction action =
                state.phase() == JobPhase.COMPLETED
                        ? DecisionAction.JOB_COMPLETED
                        : state.phase() == JobPhase.CANCELLED
                                ? DecisionAction.JOB_CANCELLED
                                : DecisionAction.JOB_GIVEN_UP;
        String reason =
                state.phase().isTerminal()
                        ? "the job is " + state.phase().label()
                        : "another entry holds it or may claim it";
        recordDecision(action, header.id(), reason, figures(header.team(), state.counts()));
    }

    private void recordDecision(
            DecisionAction action, String subject, String reason, Map<String, String> figures) {
        JOB_DECISIONS.labelValues(action.label()).inc();
        decisions.record(action, subject, reason, figures);
    }

    private static Map<String, String> figures(String team, JobCounts counts) {
        return Map.of(
                "team", team,
                "items", String.valueOf(counts.accepted()),
                "completed", String.valueOf(counts.completed()),
                "failed", String.valueOf(counts.failed()),
                "open", String.valueOf(counts.open()));
    }

    private static String time(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).toString();
    }
}
