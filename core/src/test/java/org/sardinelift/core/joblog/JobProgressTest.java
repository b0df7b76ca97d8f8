package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobProgressTest {
    private static JobProgress job(int items) {
        return JobProgress.of(
                new JobSpec(
                        "j",
                        "team",
                        "route",
                        "host",
                        0,
                        IntStream.range(0, items)
                                .mapToObj(i -> new JobItem("i" + i, "/p", Map.of(), new byte[0], 0))
                                .toList()));
    }

    @Test
    void recordsFillPositionsInOrder() {
        JobProgress job = job(3);

        assertEquals(
                JobProgress.ApplyResult.APPLIED,
                job.applyRecord(0, List.of(ItemResult.completed("i2", "c"))));
        assertEquals(
                JobProgress.ApplyResult.APPLIED,
                job.applyRecord(
                        1, List.of(ItemResult.completed("i0", "a"), ItemResult.givenUp("i1"))));

        assertEquals(
                List.of("i2", "i0", "i1"),
                job.results(0, 1_000).stream().map(ItemResult::itemId).toList());
        assertEquals(1, job.results(2, 1_000).size());
        assertEquals(0, job.results(3, 1_000).size());
        assertTrue(job.isClosed());
    }

    @Test
    void duplicateRecordChangesNothingAndLaterRecordIsNotApplied() {
        JobProgress job = job(3);
        job.applyRecord(0, List.of(ItemResult.completed("i2", "c")));

        assertEquals(
                JobProgress.ApplyResult.DUPLICATE,
                job.applyRecord(0, List.of(ItemResult.completed("i0", "a"))));
        assertEquals(
                JobProgress.ApplyResult.GAP,
                job.applyRecord(2, List.of(ItemResult.completed("i0", "a"))));
        assertEquals(1, job.filledPositions());
    }

    @Test
    void resultRecordedByAnotherWorkerIsNotRecordedAgain() {
        JobProgress job = job(2);
        job.onResult(ItemResult.completed("i0", "mine"));
        job.applyRecord(0, List.of(ItemResult.completed("i0", "theirs")));

        assertEquals(List.of(), job.unrecordedResults(1_000));
        assertEquals("theirs", job.results(0, 1_000).get(0).output());
    }

    @Test
    void pageHasAtLeastOneResult() {
        JobProgress job = job(2);
        job.applyRecord(
                0,
                List.of(
                        ItemResult.completed("i0", "x".repeat(100)),
                        ItemResult.completed("i1", "y")));

        assertEquals(1, job.results(0, 10).size());
        assertEquals(2, job.results(0, 101).size());
    }

    @Test
    void endedJobHasNoItemsToRun() {
        JobProgress job = job(2);
        assertEquals(2, job.openItems().count());

        job.end();

        assertEquals(0, job.openItems().count());
        assertTrue(job.isClosed());
        assertTrue(job.item("i0").isPresent());
    }

    @Test
    void itemWithAnUnrecordedResultIsNotRunAgain() {
        JobProgress job = job(2);
        job.onResult(ItemResult.completed("i0", "a"));

        assertEquals(1, job.openItems().count());
        assertFalse(job.isClosed());
    }
}
