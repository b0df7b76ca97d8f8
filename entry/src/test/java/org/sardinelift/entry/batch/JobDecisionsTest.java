package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.core.explain.DecisionRecorder;

/** Guards against decisions about jobs that are missing, repeated or wrong about the holder. */
class JobDecisionsTest {
    private static final long DUE_MS = 10_000;
    private static final Holder LOST = new Holder("e1", "first");
    private static final Holder SELF = new Holder("e2", "first");

    private final DecisionLog log = DecisionLog.of(100);
    private final JobDecisions jobs = JobDecisions.of(DecisionRecorder.of(log, () -> 0));
    private final JobHeader header =
            new JobHeader(
                    "job-1",
                    "patrol",
                    "evening",
                    "digest",
                    List.of(5),
                    0,
                    DUE_MS,
                    "job-1/digest",
                    RemovalStage.LIVE,
                    0);
    private final JobState claimed = JobState.initial("patrol", 5, 1).claim(SELF);

    @Test
    void aJobWithoutHolderIsClaimedAndOneWhoseHolderWasLostIsTakenOver() {
        jobs.onClaimed(header, claimed, Holder.NONE);
        assertEquals("", jobs.heldJobs().get(0).takenOverFrom());
        jobs.onClaimed(header, claimed.claim(SELF), LOST);
        assertEquals("e1", jobs.heldJobs().get(0).takenOverFrom());
        assertEquals(List.of(DecisionAction.JOB_CLAIMED, DecisionAction.JOB_TAKEN_OVER), actions());
        Map<String, String> figures = decisions().get(1).figures();
        assertEquals("e1", figures.get("from"));
        assertEquals("2", figures.get("fence"));
    }

    @Test
    void lateAndInTimeAreRecordedOncePerChange() {
        jobs.onClaimed(header, claimed, Holder.NONE);
        jobs.onProgress("job-1", 4, DUE_MS - 1, 1_000);
        jobs.onProgress("job-1", 3, DUE_MS + 1, 2_000);
        jobs.onProgress("job-1", 3, DUE_MS + 2, 3_000);
        assertTrue(jobs.heldJobs().get(0).isLate());
        jobs.onProgress("job-1", 2, DUE_MS, 4_000);
        jobs.onProgress("job-1", 1, 0, DUE_MS + 1);
        assertEquals(
                List.of(
                        DecisionAction.JOB_CLAIMED,
                        DecisionAction.JOB_LATE,
                        DecisionAction.JOB_IN_TIME,
                        DecisionAction.JOB_LATE),
                actions());
    }

    @Test
    void aJobThatEndedOrIsHeldByAnotherEntryIsNoLongerHeldHere() {
        jobs.onClaimed(header, claimed, Holder.NONE);
        jobs.onRunEnded(header, claimed.claim(LOST));
        assertEquals(List.of(), jobs.heldJobs());
        jobs.onClaimed(header, claimed, Holder.NONE);
        jobs.onRunEnded(header, claimed.commit(1, Map.of(0, new ChunkResult("mark", 1, 5, 0, 0))));
        jobs.onRunEnded(header, claimed.requestCancel().finishCancel(1));
        assertEquals(List.of(), jobs.heldJobs());
        assertEquals(
                List.of(
                        DecisionAction.JOB_CLAIMED,
                        DecisionAction.JOB_GIVEN_UP,
                        DecisionAction.JOB_CLAIMED,
                        DecisionAction.JOB_COMPLETED,
                        DecisionAction.JOB_CANCELLED),
                actions());
        assertEquals("5", decisions().get(3).figures().get("completed"));
    }

    private List<DecisionAction> actions() {
        return decisions().stream().map(DecisionRecord::action).toList();
    }

    private List<DecisionRecord> decisions() {
        return log.find(Set.of("job-1"), 100);
    }
}
