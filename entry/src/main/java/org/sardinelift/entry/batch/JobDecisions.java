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

/** Notes what becomes of jobs at this entry, and knows the jobs that it holds. */
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
     * Makes an empty record.
     *
     * @param decisions notes the decisions
     * @return the record
     */
    public static JobDecisions of(DecisionRecorder decisions) {
        return new JobDecisions(decisions);
    }

    /**
     * The jobs that this entry holds; safe for any thread.
     *
     * @return their status, by job
     */
    public List<JobStatus> heldJobs() {
        return heldJobs.values().stream()
                .sorted((first, second) -> first.id().compareTo(second.id()))
                .toList();
    }

    /** A submission was answered. */
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
                        ? "all of it is kept in the platform"
                        : "it was accepted before; it is the same job",
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
        boolean lost = before.isPresent() && !before.equals(state.holder());
        heldJobs.put(
                header.id(),
                new JobStatus(
                        header.id(),
                        header.team(),
                        lost ? before.instance() : "",
                        state.counts().accepted(),
                        state.counts().open(),
                        header.dueMs(),
                        state.expectedEndMs(),
                        false));
        Map<String, String> figures = new HashMap<>(figures(header.team(), state.counts()));
        figures.put("fence", String.valueOf(state.fence()));
        if (lost) {
            figures.put("from", before.instance());
        }
        recordDecision(
                lost ? DecisionAction.JOB_TAKEN_OVER : DecisionAction.JOB_CLAIMED,
                header.id(),
                lost
                        ? "the lease of its holder lapsed and it falls to this entry"
                        : "nobody holds it and it falls to this entry",
                Map.copyOf(figures));
    }

    /** Tells how far a job is; notes where it gets late or no longer is. */
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
