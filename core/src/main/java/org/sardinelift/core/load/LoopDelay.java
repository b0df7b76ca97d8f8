package org.sardinelift.core.load;

import java.time.Duration;

/**
 * How far an event loop is behind its work, by the delay of a task that it runs at intervals: what
 * arrives now waits as long. A process whose share of a processor doesn't suffice, such as one that
 * has just started under full traffic, falls behind by seconds. Times are nanoseconds of a
 * monotonic clock. Not thread-safe.
 */
public final class LoopDelay {
    private final long nanosToForget;
    private long nextDueAt;
    private long lastDelay;
    private long lastRanAt;
    private boolean hasTask;

    private LoopDelay(Duration timeToForget) {
        this.nanosToForget = timeToForget.toNanos();
    }

    /**
     * Creates the delay of a loop that is not behind.
     *
     * @param timeToForget time over which a measured delay fades
     * @return the delay
     */
    public static LoopDelay fadingOver(Duration timeToForget) {
        return new LoopDelay(timeToForget);
    }

    /**
     * The task runs, and will run again.
     *
     * @param nextDue when it is due again
     * @param now the time
     */
    public void onTaskRun(long nextDue, long now) {
        long measured = hasTask ? Math.max(0, now - nextDueAt) : 0;
        lastDelay = Math.max(measured, faded(now));
        lastRanAt = now;
        nextDueAt = nextDue;
        hasTask = true;
    }

    /**
     * How far the loop is behind.
     *
     * @param now the time
     * @return the delay, 0 before the first task
     */
    public Duration delay(long now) {
        long overdue = hasTask ? Math.max(0, now - nextDueAt) : 0;
        return Duration.ofNanos(Math.max(overdue, faded(now)));
    }

    private long faded(long now) {
        double part = 1 - (double) (now - lastRanAt) / nanosToForget;
        return hasTask ? (long) (lastDelay * Math.max(0, part)) : 0;
    }
}
