package org.sardinelift.runtime;

import java.time.Duration;

/**
 * Runs one task on a control thread when it is due, and only then. Setting it to an earlier time
 * moves it; to a later time does nothing. All methods are called on the control thread.
 */
public final class OneShotTimer {
    private final ControlThread control;
    private final Runnable task;
    private boolean set;
    private long dueNanos;

    private OneShotTimer(ControlThread control, Runnable task) {
        this.control = control;
        this.task = task;
    }

    /**
     * Makes an alarm that is not set.
     *
     * @param control the thread that runs the task
     * @param task what to run; it may set the alarm again
     * @return the alarm
     */
    public static OneShotTimer of(ControlThread control, Runnable task) {
        return new OneShotTimer(control, task);
    }

    /**
     * Has the task run once after a time at the latest.
     *
     * @param delay time from now
     */
    public void within(Duration delay) {
        long due = System.nanoTime() + delay.toNanos();
        if (set && due - dueNanos >= 0) {
            return;
        }
        set = true;
        dueNanos = due;
        control.schedule(delay, () -> fire(due));
    }

    /** A timer of an earlier setting finds another time and does nothing. */
    private void fire(long due) {
        if (set && due == dueNanos) {
            set = false;
            task.run();
        }
    }
}
