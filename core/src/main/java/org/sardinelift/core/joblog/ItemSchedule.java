package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Order in which the items of batch jobs get slots and give them up.
 *
 * <p>Jobs arrive evenly, but the slots left by online calls change in steps, and at times there are
 * fewer slots than items. An item runs for seconds and may be interrupted and resumed. With the
 * earliest deadline alone, all items would be late when only some can be in time. So the order is:
 * first items already started that can still be in time, by shortest remaining time; then items not
 * started that can be in time, by earliest deadline; last items that will be late. For preemption
 * it is the opposite: first an item that will be late anyway, then the one with the most time to
 * spare.
 *
 * <p>Not thread-safe.
 */
public final class ItemSchedule {
    /** Weight of the latest run in the moving averages. */
    private static final double AVERAGE_WEIGHT = 0.1;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double marginMs;
    private double meanEvents;
    private double meanEventMs;

    private ItemSchedule(double meanEvents, Duration event, Duration margin) {
        this.meanEvents = meanEvents;
        this.meanEventMs = event.toNanos() / NANOS_PER_MILLI;
        this.marginMs = margin.toMillis();
    }

    /**
     * Creates a schedule.
     *
     * @param meanEvents initial estimate of the events of an item; runs adjust it
     * @param event initial estimate of the time between two events; runs adjust it
     * @param margin time from the end of an item until its caller can read the result
     * @return the schedule
     */
    public static ItemSchedule of(int meanEvents, Duration event, Duration margin) {
        return new ItemSchedule(meanEvents, event, margin);
    }

    /**
     * An item with the deadline of its job.
     *
     * @param job job of the item
     * @param item progress of the item
     * @param dueMs deadline of the job, Unix milliseconds
     */
    public record ScheduledItem(JobProgress job, ItemProgress item, long dueMs) {}

    /**
     * An item has run to its end.
     *
     * @param events number of events of the item
     * @param runEvents number of events of its last run
     * @param run duration of its last run
     */
    public void onItemCompleted(int events, int runEvents, Duration run) {
        meanEvents += AVERAGE_WEIGHT * (events - meanEvents);
        if (runEvents > 1) {
            double sample = run.toNanos() / NANOS_PER_MILLI / runEvents;
            meanEventMs += AVERAGE_WEIGHT * (sample - meanEventMs);
        }
    }

    /** Estimated time that an item still has to run, milliseconds. */
    private double remainingMs(ItemProgress item) {
        return Math.max(1, meanEvents - item.eventCount()) * meanEventMs;
    }

    /**
     * Estimated time to spare until the deadline, milliseconds; negative if the item will be late.
     */
    private double slackMs(ScheduledItem scheduled, long nowMs) {
        return scheduled.dueMs() - nowMs - marginMs - remainingMs(scheduled.item());
    }

    /** Priority class of an item, highest first. */
    private enum Priority {
        STARTED,
        NOT_STARTED,
        LATE
    }

    private Priority priority(ScheduledItem scheduled, long nowMs) {
        if (slackMs(scheduled, nowMs) < 0) {
            return Priority.LATE;
        }
        return scheduled.item().eventCount() > 0 ? Priority.STARTED : Priority.NOT_STARTED;
    }

    private double rank(ScheduledItem scheduled, Priority priority) {
        return priority == Priority.NOT_STARTED ? scheduled.dueMs() : remainingMs(scheduled.item());
    }

    /**
     * Selects the item to start next.
     *
     * @param items items of all jobs that this worker runs
     * @param nowNanos current time, monotonic, for delays
     * @param nowMs current time, Unix milliseconds, for deadlines
     * @return the item, or empty if none may be started
     */
    public Optional<ScheduledItem> selectNext(
            Stream<ScheduledItem> items, long nowNanos, long nowMs) {
        return items.filter(scheduled -> scheduled.item().isStartable(nowNanos))
                .min(
                        Comparator.<ScheduledItem, Priority>comparing(
                                        scheduled -> priority(scheduled, nowMs))
                                .thenComparingDouble(
                                        scheduled -> rank(scheduled, priority(scheduled, nowMs))));
    }

    /**
     * Whether to discard the output of an item whose software version has no free slot, while
     * another one has. It waits as long as it takes to write the output again, so that both
     * together take at most twice the better choice.
     *
     * @param item the item, which isn't running
     * @param now current time, monotonic, nanoseconds
     * @return true if it has waited that long
     */
    public boolean isStartingOverDue(ItemProgress item, long now) {
        return item.waitingNanos(now) >= item.eventCount() * meanEventMs * NANOS_PER_MILLI;
    }

    /**
     * Selects the running item that gives up its slot first.
     *
     * @param running items that run on the target whose slot is needed
     * @param nowMs current time, Unix milliseconds
     * @return the item, or empty if none is running
     */
    public Optional<ScheduledItem> selectForPreemption(
            Collection<ScheduledItem> running, long nowMs) {
        return running.stream()
                .max(
                        Comparator.<ScheduledItem>comparingInt(
                                        scheduled -> slackMs(scheduled, nowMs) < 0 ? 1 : 0)
                                .thenComparingDouble(
                                        scheduled -> preemptionRank(scheduled, nowMs)));
    }

    /**
     * Prefers, of the items that will be late, the one with the most left to run; of the others,
     * the one with the most time to spare.
     */
    private double preemptionRank(ScheduledItem scheduled, long nowMs) {
        double slack = slackMs(scheduled, nowMs);
        return slack < 0 ? remainingMs(scheduled.item()) : slack;
    }
}
