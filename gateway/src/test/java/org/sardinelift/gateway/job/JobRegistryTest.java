package org.sardinelift.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.JobItem;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.RecordEntry;
import org.sardinelift.objects.StoredObject;

class JobRegistryTest {
    private final JobRegistry jobs = new JobRegistry(new OneItemApi());

    /** Jobs of one item, whatever their document. */
    private static final class OneItemApi implements JobApi {
        @Override
        public Optional<JobCall> parseCall(
                String method, String uri, UnaryOperator<@Nullable String> header) {
            return Optional.empty();
        }

        @Override
        public List<JobItem> parseItems(byte[] body) {
            return List.of(new JobItem("i", "/p", Map.of(), new byte[0], 0));
        }

        @Override
        public byte[] formatResults(int total, int next, List<ItemResult> results) {
            return new byte[0];
        }
    }

    private static StoredObject stored(JobObject object, long revision, String value) {
        return new StoredObject(object.key(), revision, revision, value);
    }

    private static StoredObject header(String job, long revision) {
        JobCodec.Header header = new JobCodec.Header("team", "route", "host", 0, 0, "document");
        return stored(new JobObject.Header(job), revision, JobCodec.encodeHeader(header));
    }

    /** An item of a job that looks open is sent to a target at once. */
    @Test
    void aClosedJobInAListIsNeverReportedAsOpen() {
        List<Boolean> reportedAsClosed = new ArrayList<>();
        jobs.setChangeListener(job -> reportedAsClosed.add(job.isClosed()));
        String results =
                JobCodec.encodeRecord(
                        List.of(RecordEntry.whole(ItemResult.completed("i", "output"))));

        jobs.applyAll(
                List.of(
                        stored(new JobObject.End("ended"), 4, "{}"),
                        header("ended", 1),
                        header("completed", 2),
                        stored(new JobObject.Record("completed", 0), 3, results)));

        assertEquals(List.of(true, true), reportedAsClosed);
        assertEquals(1, jobs.find("completed").map(JobProgress::filledPositions).orElseThrow());
        assertTrue(jobs.find("ended").orElseThrow().hasEnded());
    }

    /** The feed would end, and the worker never hear of another job. */
    @Test
    void aFailureInTheListenerDoesNotReachTheFeed() {
        List<String> reported = new ArrayList<>();
        jobs.setChangeListener(
                job -> {
                    reported.add(job.spec().id());
                    throw new IllegalStateException("failed");
                });

        jobs.applyAll(List.of(header("a", 1), header("b", 2)));

        assertEquals(List.of("a", "b"), reported);
    }

    @Test
    void anObjectThatCannotBeReadDoesNotHideTheOthers() {
        jobs.applyAll(
                List.of(
                        stored(new JobObject.Header("odd"), 1, "[]]"),
                        stored(new JobObject.Record("odd", 0), 2, "{\"results\":[{}]}"),
                        header("sound", 3)));

        assertTrue(jobs.find("sound").isPresent());
        assertTrue(jobs.find("odd").isEmpty());
    }
}
