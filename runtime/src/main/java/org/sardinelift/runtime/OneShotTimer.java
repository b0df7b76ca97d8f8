package org.sardinelift.runtime;

import java.time.Duration;

/**
 * Timer that runs one task on a control thread when it is due. Setting it to an earlier time moves
 * it; setting it to a later time has no effect. All methods must be called on the control thread.
 */
public final class OneShotTimer {
    private final ControlThread control;
    private final Runnable task;
    private boolean isSet;
    private long dueNanos;

    private OneShotTimer(ControlThread control, Runnable task) {
        this.control = control;
        this.task = task;
    }

    /**
     * Creates a timer that is not set.
     *
     * @param control thread that runs the task
     * @param task task to run; it may set the timer again
     * @return the timer
     */
    public static OneShotTimer of(ControlThread control, Runnable task) {
        return new OneShotTimer(control, task);
    }

    /**
     * Sets the timer to run the task after a delay at the latest.
     *
     * @param delay maximum delay from now
     */
    public void scheduleWithin(Duration delay) {
        long due = System.nanoTime() + delay.toNanos();
        if (isSet && due - dueNanos >= 0) {
            return;
        }
        isSet = true;
        dueNanos = due;
        control.schedule(delay, () -> runIfDue(due));
    }

    /** Runs the task, unless the timer was moved to another time since. */
    private void runIfDue(long due) {
        if (isSet && due == dueNanos) {
            isSet = false;
            task.run();
        }
    }
}
