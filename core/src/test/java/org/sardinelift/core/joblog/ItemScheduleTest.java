package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ItemScheduleTest {
    private final ItemSchedule schedule = ItemSchedule.of(Duration.ofSeconds(5));

    private static ItemSchedule.Due due(String id, long dueMs, int events) {
        JobItem item = new JobItem(id, "/p", Map.of(), new byte[0]);
        JobProgress job =
                JobProgress.of(new JobSpec("j", "team", "route", "host", 0, List.of(item)));
        ItemProgress progress = job.openItem(id).orElseThrow();
        IntStream.rangeClosed(1, events).forEach(i -> progress.onEvent(i, "x"));
        return new ItemSchedule.Due(job, progress, dueMs);
    }

    private String next(ItemSchedule.Due... items) {
        return schedule.next(Stream.of(items), 0, 0).orElseThrow().item().item().id();
    }

    @Test
    void theEarliestDueGoesFirst() {
        assertEquals("b", next(due("a", 18_000, 0), due("b", 12_000, 0)));
    }

    @Test
    void ofEqualsTheOneWithMostWorkDoneGoesFirst() {
        assertEquals("b", next(due("a", 18_000, 0), due("b", 18_000, 40)));
    }

    @Test
    void whatCannotBeDoneInTimeWaitsForWhatCan() {
        assertEquals("a", next(due("a", 18_000, 0), due("b", 1_000, 0)));
        assertEquals("b", next(due("a", 18_000, 0), due("b", 1_000, 150)));
    }

    @Test
    void runningAndPausedItemsAreNotStarted() {
        ItemSchedule.Due running = due("a", 1, 0);
        running.item().running(true);
        ItemSchedule.Due paused = due("b", 1, 0);
        paused.item().notBefore(100);

        assertTrue(schedule.next(Stream.of(running, paused), 99, 0).isEmpty());
        assertEquals(
                "b",
                schedule.next(Stream.of(running, paused), 100, 0).orElseThrow().item().item().id());
    }

    @Test
    void theItemDueLastYieldsFirst() {
        ItemSchedule.Due early = due("a", 12_000, 10);
        ItemSchedule.Due late = due("b", 18_000, 50);

        assertEquals(late, schedule.firstToYield(List.of(early, late)).orElseThrow());
    }

    @Test
    void ofItemsOfOneJobTheOneWithLeastWorkYields() {
        ItemSchedule.Due fresh = due("a", 12_000, 3);
        ItemSchedule.Due old = due("b", 12_000, 50);

        assertEquals(fresh, schedule.firstToYield(List.of(fresh, old)).orElseThrow());
    }

    @Test
    void workersTogetherYieldWhatIsNeeded() {
        Map<String, Integer> items = Map.of("w1", 2, "w2", 1, "w3", 3);
        for (int excess = -1; excess <= 8; excess++) {
            int expected = Math.max(0, Math.min(6, excess));
            int sum =
                    YieldShare.of("w1", 2, Map.of("w2", 1, "w3", 3), excess)
                            + YieldShare.of("w2", 1, Map.of("w1", 2, "w3", 3), excess)
                            + YieldShare.of("w3", 3, Map.of("w1", 2, "w2", 1), excess);
            assertEquals(expected, sum, "excess " + excess + " of " + items);
        }
    }
}
