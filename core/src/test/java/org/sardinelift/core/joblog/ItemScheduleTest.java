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
    /** Items of 200 events, one each 25 ms, that run for 5 s. */
    private final ItemSchedule schedule =
            ItemSchedule.of(200, Duration.ofMillis(25), Duration.ZERO);

    private static ItemSchedule.ScheduledItem due(String id, long dueMs, int events) {
        JobItem item = new JobItem(id, "/p", Map.of(), new byte[0]);
        JobProgress job =
                JobProgress.of(new JobSpec("j", "team", "route", "host", 0, List.of(item)));
        ItemProgress progress = job.openItem(id).orElseThrow();
        IntStream.rangeClosed(1, events).forEach(i -> progress.onEvent(i, "x"));
        return new ItemSchedule.ScheduledItem(job, progress, dueMs);
    }

    private String next(ItemSchedule.ScheduledItem... items) {
        return schedule.selectNext(Stream.of(items), 0, 0).orElseThrow().item().item().id();
    }

    @Test
    void ofItemsNotBegunTheEarliestDueGoesFirst() {
        assertEquals("b", next(due("a", 18_000, 0), due("b", 12_000, 0)));
    }

    @Test
    void ofItemsBegunTheOneWithLeastLeftGoesFirst() {
        assertEquals("b", next(due("a", 12_000, 20), due("b", 18_000, 40)));
    }

    @Test
    void whatWasBegunGoesBeforeWhatWasNot() {
        assertEquals("b", next(due("a", 12_000, 0), due("b", 18_000, 40)));
    }

    @Test
    void whatWillBeLateWaitsForWhatCanBeInTime() {
        assertEquals("a", next(due("a", 18_000, 0), due("b", 4_900, 0)));
        assertEquals("a", next(due("a", 18_000, 0), due("b", 900, 150)));
        assertEquals("b", next(due("a", 18_000, 0), due("b", 1_300, 150)));
    }

    @Test
    void estimatesFollowTheRuns() {
        for (int i = 0; i < 60; i++) {
            schedule.onItemCompleted(400, 400, Duration.ofSeconds(20));
        }

        assertEquals("a", next(due("a", 30_000, 0), due("b", 15_000, 0)));
    }

    @Test
    void runningAndPausedItemsAreNotStarted() {
        ItemSchedule.ScheduledItem running = due("a", 1, 0);
        running.item().setRunning(true);
        ItemSchedule.ScheduledItem paused = due("b", 1, 0);
        paused.item().delayUntil(100);

        assertTrue(schedule.selectNext(Stream.of(running, paused), 99, 0).isEmpty());
        assertEquals(
                "b",
                schedule.selectNext(Stream.of(running, paused), 100, 0)
                        .orElseThrow()
                        .item()
                        .item()
                        .id());
    }

    private ItemSchedule.ScheduledItem yielding(ItemSchedule.ScheduledItem... running) {
        return schedule.selectForPreemption(List.of(running), 0).orElseThrow();
    }

    @Test
    void theItemWithMostTimeToSpareYieldsFirst() {
        ItemSchedule.ScheduledItem early = due("a", 12_000, 10);
        ItemSchedule.ScheduledItem late = due("b", 18_000, 10);
        ItemSchedule.ScheduledItem nearlyDone = due("c", 12_000, 190);

        assertEquals(late, yielding(early, late));
        assertEquals(nearlyDone, yielding(early, nearlyDone));
    }

    @Test
    void whatWillBeLateAnywayYieldsFirst() {
        ItemSchedule.ScheduledItem late = due("a", 1_000, 10);
        ItemSchedule.ScheduledItem later = due("b", 1_000, 100);
        ItemSchedule.ScheduledItem inTime = due("c", 60_000, 10);

        assertEquals(late, yielding(late, later, inTime));
    }

    @Test
    void workersTogetherYieldWhatIsNeeded() {
        Map<String, Integer> items = Map.of("w1", 2, "w2", 1, "w3", 3);
        for (int excess = -1; excess <= 8; excess++) {
            int expected = Math.max(0, Math.min(6, excess));
            int sum =
                    PreemptionShare.itemsToPreempt("w1", 2, Map.of("w2", 1, "w3", 3), excess)
                            + PreemptionShare.itemsToPreempt(
                                    "w2", 1, Map.of("w1", 2, "w3", 3), excess)
                            + PreemptionShare.itemsToPreempt(
                                    "w3", 3, Map.of("w1", 2, "w2", 1), excess);
            assertEquals(expected, sum, "excess " + excess + " of " + items);
        }
    }
}
