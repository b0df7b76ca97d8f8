package org.sardinelift.core.joblog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ItemScheduleTest {
    /** Schedule for items of 200 events, one every 25 ms, which run for 5 s. */
    private final ItemSchedule schedule =
            ItemSchedule.of(200, Duration.ofMillis(25), Duration.ZERO);

    private static ItemSchedule.ScheduledItem scheduled(String id, long dueMs, int events) {
        JobItem item = new JobItem(id, "/p", Map.of(), new byte[0], 0);
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
    void ofItemsNotStartedTheEarliestDeadlineGoesFirst() {
        assertEquals("b", next(scheduled("a", 18_000, 0), scheduled("b", 12_000, 0)));
    }

    @Test
    void ofStartedItemsTheOneWithTheLeastLeftGoesFirst() {
        assertEquals("b", next(scheduled("a", 12_000, 20), scheduled("b", 18_000, 40)));
    }

    @Test
    void startedItemsGoBeforeItemsNotStarted() {
        assertEquals("b", next(scheduled("a", 12_000, 0), scheduled("b", 18_000, 40)));
    }

    @Test
    void lateItemsWaitForItemsThatCanBeInTime() {
        assertEquals("a", next(scheduled("a", 18_000, 0), scheduled("b", 4_900, 0)));
        assertEquals("a", next(scheduled("a", 18_000, 0), scheduled("b", 900, 150)));
        assertEquals("b", next(scheduled("a", 18_000, 0), scheduled("b", 1_300, 150)));
    }

    @Test
    void estimatesFollowCompletedRuns() {
        for (int i = 0; i < 60; i++) {
            schedule.onItemCompleted(400, 400, Duration.ofSeconds(20));
        }

        assertEquals("a", next(scheduled("a", 30_000, 0), scheduled("b", 15_000, 0)));
    }

    @Test
    void runningAndDelayedItemsAreNotStarted() {
        ItemSchedule.ScheduledItem running = scheduled("a", 1, 0);
        running.item().setRunning(true);
        ItemSchedule.ScheduledItem delayed = scheduled("b", 1, 0);
        delayed.item().delayUntil(100);

        assertTrue(schedule.selectNext(Stream.of(running, delayed), 99, 0).isEmpty());
        assertEquals(
                "b",
                schedule.selectNext(Stream.of(running, delayed), 100, 0)
                        .orElseThrow()
                        .item()
                        .item()
                        .id());
    }

    @Test
    void anItemWaitsForItsVersionAsLongAsItsOutputTakesToWriteAgain() {
        ItemProgress item = scheduled("a", 18_000, 40).item();
        item.onRunEnded(0);

        assertFalse(schedule.isStartingOverDue(item, Duration.ofMillis(999).toNanos()));
        assertTrue(schedule.isStartingOverDue(item, Duration.ofMillis(1_000).toNanos()));
    }

    private ItemSchedule.ScheduledItem firstPreempted(ItemSchedule.ScheduledItem... running) {
        return schedule.selectForPreemption(List.of(running), 0).orElseThrow();
    }

    @Test
    void itemWithTheMostTimeToSpareIsPreemptedFirst() {
        ItemSchedule.ScheduledItem early = scheduled("a", 12_000, 10);
        ItemSchedule.ScheduledItem late = scheduled("b", 18_000, 10);
        ItemSchedule.ScheduledItem nearlyDone = scheduled("c", 12_000, 190);

        assertEquals(late, firstPreempted(early, late));
        assertEquals(nearlyDone, firstPreempted(early, nearlyDone));
    }

    @Test
    void itemThatWillBeLateAnywayIsPreemptedFirst() {
        ItemSchedule.ScheduledItem late = scheduled("a", 1_000, 10);
        ItemSchedule.ScheduledItem later = scheduled("b", 1_000, 100);
        ItemSchedule.ScheduledItem inTime = scheduled("c", 60_000, 10);

        assertEquals(late, firstPreempted(late, later, inTime));
    }

    @Test
    void workersTogetherPreemptAsManyItemsAsNeeded() {
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
