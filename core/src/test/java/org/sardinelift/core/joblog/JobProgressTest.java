package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobProgressTest {
    /** Bound of a record in these tests, bytes. */
    private static final int MAX_BYTES = 400_000;

    /** Size of an entry without its texts. */
    private static final int ENTRY_BYTES = 200;

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
                job.applyRecord(0, List.of(RecordEntry.whole(ItemResult.completed("i2", "c")))));
        assertEquals(
                JobProgress.ApplyResult.APPLIED,
                job.applyRecord(
                        1,
                        List.of(
                                RecordEntry.whole(ItemResult.completed("i0", "a")),
                                RecordEntry.whole(ItemResult.givenUp("i1")))));

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
        job.applyRecord(0, List.of(RecordEntry.whole(ItemResult.completed("i2", "c"))));

        assertEquals(
                JobProgress.ApplyResult.DUPLICATE,
                job.applyRecord(0, List.of(RecordEntry.whole(ItemResult.completed("i0", "a")))));
        assertEquals(
                JobProgress.ApplyResult.GAP,
                job.applyRecord(2, List.of(RecordEntry.whole(ItemResult.completed("i0", "a")))));
        assertEquals(1, job.filledPositions());
    }

    @Test
    void resultRecordedByAnotherWorkerIsNotRecordedAgain() {
        JobProgress job = job(2);
        job.onResult(ItemResult.completed("i0", "mine"));
        job.applyRecord(0, List.of(RecordEntry.whole(ItemResult.completed("i0", "theirs"))));

        assertEquals(List.of(), job.nextEntries(1_000, "s"));
        assertEquals("theirs", job.results(0, 1_000).get(0).output());
    }

    @Test
    void pageHasAtLeastOneResult() {
        JobProgress job = job(2);
        job.applyRecord(
                0,
                List.of(
                        RecordEntry.whole(ItemResult.completed("i0", "x".repeat(100))),
                        RecordEntry.whole(ItemResult.completed("i1", "y"))));

        assertEquals(1, job.results(0, 10).size());
        assertEquals(1, job.results(0, 101).size());
        assertEquals(2, job.results(0, 2 * ENTRY_BYTES + 105).size());
    }

    /** A record beyond the store's bound of a value is rejected, and no later one can pass it. */
    @Test
    void recordsOfWideCharactersAreBoundedInBytes() {
        JobProgress job = job(40);
        String output = "\u6f22".repeat(10_000);
        IntStream.range(0, 40).forEach(i -> job.onResult(ItemResult.completed("i" + i, output)));
        int records = 0;
        while (!job.isClosed()) {
            List<RecordEntry> entries = job.nextEntries(MAX_BYTES, "s");
            assertTrue(outputBytes(entries) <= MAX_BYTES, "bytes: " + outputBytes(entries));
            job.applyRecord(job.nextRecord(), entries);
            records++;
        }

        assertEquals(40, job.results(0, Long.MAX_VALUE).size());
        assertTrue(records < 40, "records: " + records);
    }

    private static int outputBytes(List<RecordEntry> entries) {
        return entries.stream()
                .mapToInt(each -> each.result().output().getBytes(StandardCharsets.UTF_8).length)
                .sum();
    }

    @Test
    void aResultLargerThanARecordIsRecordedInParts() {
        JobProgress job = job(2);
        JobProgress reader = job(2);
        String output = "x\ud83d\ude00".repeat(1_000);
        job.onResult(ItemResult.completed("i0", output));
        while (job.filledPositions() == 0) {
            List<RecordEntry> entries = job.nextEntries(1_000, "s");
            assertTrue(outputBytes(entries) <= 1_000);
            int number = job.nextRecord();
            job.applyRecord(number, entries);
            reader.applyRecord(number, entries);
        }

        assertEquals(output, reader.results(0, Long.MAX_VALUE).get(0).output());
        assertEquals(List.of(), job.nextEntries(1_000, "s"));
    }

    /** A worker that takes a job over writes parts of its own between those of the other. */
    @Test
    void partsOfTwoWorkersAreNotJoined() {
        JobProgress job = job(1);
        ItemResult mine = ItemResult.completed("i0", "mine");
        ItemResult theirs = ItemResult.completed("i0", "theirs");
        job.applyRecord(0, List.of(RecordEntry.part(mine, "s1", false)));
        job.applyRecord(1, List.of(RecordEntry.part(theirs, "s2", false)));
        job.applyRecord(2, List.of(RecordEntry.part(theirs, "s2", true)));
        job.applyRecord(3, List.of(RecordEntry.part(mine, "s1", true)));

        assertEquals(1, job.filledPositions());
        assertEquals("theirstheirs", job.results(0, 1_000).get(0).output());
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
