package org.sardinelift.entry.batch;

import java.time.Clock;
import java.time.Duration;
import org.sardinelift.runtime.ControlThread;

/** The control thread, which owns the batch state, and its clocks. */
interface BatchControl {

    /** Runs a task on the control thread, after the tasks submitted before it. */
    void execute(Runnable task);

    /** Runs a task on the control thread once, after a delay. */
    void schedule(Duration delay, Runnable task);

    /** Runs a long task on another thread than the control thread. */
    void offload(Runnable task);

    /** Monotonic time, nanoseconds. */
    long nanos();

    /** Wall clock, epoch milliseconds. */
    long epochMillis();

    /** Runs a task repeatedly, with the given pause after the end of each run. */
    default void repeat(Duration period, Runnable task) {
        schedule(
                period,
                () -> {
                    try {
                        task.run();
                    } finally {
                        repeat(period, task);
                    }
                });
    }

    /** Runs batch tasks on a control thread and long tasks on a second one. */
    static BatchControl of(ControlThread control, ControlThread longTasks, Clock clock) {
        return new BatchControl() {
            @Override
            public void execute(Runnable task) {
                control.execute(task);
            }

            @Override
            public void schedule(Duration delay, Runnable task) {
                control.schedule(delay, task);
            }

            @Override
            public void offload(Runnable task) {
                longTasks.execute(task);
            }

            @Override
            public long nanos() {
                return System.nanoTime();
            }

            @Override
            public long epochMillis() {
                return clock.millis();
            }
        };
    }
}
