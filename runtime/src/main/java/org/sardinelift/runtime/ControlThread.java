package org.sardinelift.runtime;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.IdleStrategy;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Thread that owns control state; other threads submit tasks to it. */
public final class ControlThread implements AutoCloseable {
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final int MAX_TASKS_PER_CYCLE = 256;

    private final ManyToOneConcurrentLinkedQueue<Runnable> tasks =
            new ManyToOneConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final AgentRunner runner;
    private volatile @Nullable Thread thread;
    private volatile boolean isParked;
    private long sequence;

    private ControlThread(String name) {
        runner =
                new AgentRunner(
                        new ParkingIdleStrategy(), this::onError, null, new TaskAgent(name));
    }

    /**
     * Starts a control thread.
     *
     * @param name name of the thread
     * @return the running thread
     */
    public static ControlThread start(String name) {
        ControlThread control = new ControlThread(name);
        CountDownLatch started = new CountDownLatch(1);
        control.execute(
                () -> {
                    control.thread = Thread.currentThread();
                    started.countDown();
                });
        AgentRunner.startOnThread(
                control.runner,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        try {
            started.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return control;
    }

    /**
     * Runs a task on the control thread, after those submitted earlier.
     *
     * @param task task to run; an exception is logged and the thread continues
     */
    public void execute(Runnable task) {
        tasks.offer(task);
        wake();
    }

    /**
     * Runs a task once, later.
     *
     * @param delay time to wait
     * @param task task to run
     */
    public void schedule(Duration delay, Runnable task) {
        long deadline = System.nanoTime() + delay.toNanos();
        execute(() -> timers.add(new Timer(deadline, sequence++, task)));
    }

    /**
     * Runs a task repeatedly, the given time after the end of each run.
     *
     * @param period time between runs
     * @param task task to run
     */
    public void scheduleRepeatedly(Duration period, Runnable task) {
        schedule(
                period,
                () -> {
                    try {
                        task.run();
                    } finally {
                        scheduleRepeatedly(period, task);
                    }
                });
    }

    /**
     * Whether the caller is on the control thread.
     *
     * @return true on the control thread
     */
    public boolean isCurrentThread() {
        return Thread.currentThread() == thread;
    }

    /** Stops the thread; tasks that have not run are dropped. */
    @Override
    public void close() {
        runner.close();
    }

    private void wake() {
        if (isParked) {
            LockSupport.unpark(thread);
        }
    }

    private void onError(Throwable error) {
        Logger.error(
                error,
                "A task of the control thread failed; the thread continues with the next one");
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            onError(e);
        }
    }

    private record Timer(long deadlineNanos, long sequence, Runnable task)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    private final class TaskAgent implements Agent {
        private final String name;

        TaskAgent(String name) {
            this.name = name;
        }

        @Override
        public int doWork() {
            int done = 0;
            Runnable task = tasks.poll();
            while (task != null) {
                run(task);
                done++;
                task = done < MAX_TASKS_PER_CYCLE ? tasks.poll() : null;
            }
            long now = System.nanoTime();
            Timer next = timers.peek();
            while (next != null && next.deadlineNanos() - now <= 0) {
                timers.poll();
                run(next.task());
                done++;
                next = timers.peek();
            }
            return done;
        }

        @Override
        public String roleName() {
            return name;
        }
    }

    /** Parks until the next timer is due or a task is submitted. */
    private final class ParkingIdleStrategy implements IdleStrategy {
        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            Timer next = timers.peek();
            long nanos =
                    next == null
                            ? MAX_PARK_NANOS
                            : Math.min(MAX_PARK_NANOS, next.deadlineNanos() - System.nanoTime());
            isParked = true;
            if (tasks.isEmpty() && nanos > 0) {
                LockSupport.parkNanos(nanos);
            }
            isParked = false;
        }

        @Override
        public void reset() {}
    }
}
