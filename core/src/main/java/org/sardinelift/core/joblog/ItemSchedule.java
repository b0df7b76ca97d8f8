package org.sardinelift.core.joblog;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Order in which the items of batch jobs get slots.
 *
 * <p>Load answered: jobs come evenly, but the slots that online calls leave come in steps, and
 * there are times with fewer slots than work. An item runs for seconds and may be cut and resumed.
 * By earliest due time alone, all items would be late where only some can be in time. So items that
 * were begun and can still be in time go first, the one with the least left before the others
 * (shortest remaining processing time); then items not begun that can be in time, earliest due
 * first; last those that will be late. Slots are given up in the opposite manner: by what will be
 * late anyway, then by the item with the most time to spare.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class ItemSchedule {
    /** Weight of the newest run in the running means. */
    private static final double WEIGHT = 0.1;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double marginMs;
    private double usualEvents;
    private double eventMs;

    private ItemSchedule(double usualEvents, Duration event, Duration margin) {
        this.usualEvents = usualEvents;
        this.eventMs = event.toNanos() / NANOS_PER_MILLI;
        this.marginMs = margin.toMillis();
    }

    /**
     * Makes a schedule.
     *
     * @param usualEvents events of an item, until runs have shown it
     * @param event time between two events, until runs have shown it
     * @param margin time from the end of an item until its caller can read the result
     * @return the schedule
     */
    public static ItemSchedule of(int usualEvents, Duration event, Duration margin) {
        return new ItemSchedule(usualEvents, event, margin);
    }

    /**
     * An item and when it is due.
     *
     * @param job its job
     * @param item its progress
     * @param dueMs when its job is due, Unix milliseconds
     */
    public record ScheduledItem(JobProgress job, ItemProgress item, long dueMs) {}

    /**
     * An item has run to its end.
     *
     * @param events events that it had in all
     * @param runEvents events of its last run
     * @param run time of its last run
     */
    public void onItemCompleted(int events, int runEvents, Duration run) {
        usualEvents += WEIGHT * (events - usualEvents);
        if (runEvents > 1) {
            double sample = run.toNanos() / NANOS_PER_MILLI / runEvents;
            eventMs += WEIGHT * (sample - eventMs);
        }
    }

    /** Time that an item still has to run, milliseconds. */
    private double leftMs(ItemProgress item) {
        return Math.max(1, usualEvents - item.eventCount()) * eventMs;
    }

    /** Time to spare until an item is due, milliseconds; negative where it will be late. */
    private double slackMs(ScheduledItem due, long nowMs) {
        return due.dueMs() - nowMs - marginMs - leftMs(due.item());
    }

    /** What an item can still earn, best first. */
    private enum Prospect {
        BEGUN,
        NOT_BEGUN,
        LATE
    }

    private Prospect prospect(ScheduledItem due, long nowMs) {
        if (slackMs(due, nowMs) < 0) {
            return Prospect.LATE;
        }
        return due.item().eventCount() > 0 ? Prospect.BEGUN : Prospect.NOT_BEGUN;
    }

    private double rank(ScheduledItem due, Prospect prospect) {
        return prospect == Prospect.NOT_BEGUN ? due.dueMs() : leftMs(due.item());
    }

    /**
     * The item to start next.
     *
     * @param items items of all jobs run here
     * @param nowNanos monotonic time, for pauses
     * @param nowMs Unix time, for due times
     * @return the item, or empty where none may be started
     */
    public Optional<ScheduledItem> selectNext(
            Stream<ScheduledItem> items, long nowNanos, long nowMs) {
        return items.filter(due -> due.item().isStartable(nowNanos))
                .min(
                        Comparator.<ScheduledItem, Prospect>comparing(due -> prospect(due, nowMs))
                                .thenComparingDouble(due -> rank(due, prospect(due, nowMs))));
    }

    /**
     * The running item that gives up its slot first.
     *
     * @param running items that run on the target whose slot is needed
     * @param nowMs Unix time
     * @return the item, or empty where none runs
     */
    public Optional<ScheduledItem> selectForPreemption(
            Collection<ScheduledItem> running, long nowMs) {
        return running.stream()
                .max(
                        Comparator.<ScheduledItem>comparingInt(
                                        due -> slackMs(due, nowMs) < 0 ? 1 : 0)
                                .thenComparingDouble(due -> yieldRank(due, nowMs)));
    }

    /** Of those that will be late the one with the most left, of others the one with most time. */
    private double yieldRank(ScheduledItem due, long nowMs) {
        double slack = slackMs(due, nowMs);
        return slack < 0 ? leftMs(due.item()) : slack;
    }
}
