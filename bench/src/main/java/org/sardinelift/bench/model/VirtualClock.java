package org.sardinelift.bench.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock that runs scheduled tasks in the order of their times. */
final class VirtualClock {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private long now;
    private long sequence;

    private record Task(long at, long sequence, Runnable action) {}

    long now() {
        return now;
    }

    void schedule(long time, Runnable action) {
        tasks.add(new Task(time, sequence++, action));
    }

    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = task.at();
            task.action().run();
        }
    }
}
