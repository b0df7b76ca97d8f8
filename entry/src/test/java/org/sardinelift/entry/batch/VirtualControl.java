package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.PriorityQueue;

/** Virtual time shared by several entries, each of which can be frozen, unfrozen and killed. */
final class VirtualControl {
    private static final long START_MS = 1_800_000_000_000L;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now;
    private long sequence;

    private record Task(long at, long sequence, Entry owner, Runnable body)
            implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** The control thread of one entry. */
    final class Entry implements BatchControl {
        private boolean isFrozen;
        private boolean isDead;
        private final java.util.List<Runnable> deferredTasks = new java.util.ArrayList<>();

        void freeze() {
            isFrozen = true;
        }

        void unfreeze() {
            isFrozen = false;
            deferredTasks.forEach(this::execute);
            deferredTasks.clear();
        }

        void kill() {
            isDead = true;
            deferredTasks.clear();
        }

        boolean isDead() {
            return isDead;
        }

        @Override
        public void execute(Runnable task) {
            schedule(Duration.ZERO, task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            tasks.add(new Task(now + delay.toNanos(), sequence++, this, task));
        }

        @Override
        public void offload(Runnable task) {
            execute(task);
        }

        @Override
        public long nanos() {
            return now;
        }

        @Override
        public long epochMillis() {
            return START_MS + now / 1_000_000;
        }
    }

    Entry newEntry() {
        return new Entry();
    }

    long nanos() {
        return now;
    }

    /** Runs all tasks that are due within a time, in order. */
    void advance(Duration time) {
        long until = now + time.toNanos();
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            if (task.owner().isFrozen) {
                task.owner().deferredTasks.add(task.body());
            } else if (!task.owner().isDead) {
                task.body().run();
            }
        }
        now = until;
    }
}
