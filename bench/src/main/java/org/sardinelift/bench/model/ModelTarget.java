package org.sardinelift.bench.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** A simulated target: runs as many calls as it has slots and queues the others in FIFO order. */
final class ModelTarget {
    /** Time to the first event: set-up, prefill of a typical prompt and the steps of the event. */
    private static final long FIRST_EVENT_NANOS = 45_000_000L;

    /** Time of one event with one call running: its tokens times the time of a step. */
    private static final long NANOS_PER_EVENT = 6 * 3_192_000L;

    /** Time that each further call adds to an event. */
    private static final long ADDED_NANOS_PER_CALL = 6 * 102_000L;

    private final String id;
    private final String zone;
    private final int slots;
    private final VirtualClock clock;
    private final Set<ModelRun> running = new HashSet<>();
    private final Deque<ModelRun> queue = new ArrayDeque<>();
    private long busyNanos;
    private long countedAt;

    ModelTarget(String id, String zone, int slots, VirtualClock clock) {
        this.id = id;
        this.zone = zone;
        this.slots = slots;
        this.clock = clock;
    }

    String id() {
        return id;
    }

    String zone() {
        return zone;
    }

    int slots() {
        return slots;
    }

    int callCount(boolean batch) {
        return (int)
                (running.stream().filter(run -> run.isBatch() == batch).count()
                        + queue.stream().filter(run -> run.isBatch() == batch).count());
    }

    /** Returns the sum over all slots of the time in use until the given time. */
    long busyNanos(long until) {
        addBusyTime(until);
        return busyNanos;
    }

    private void addBusyTime(long until) {
        busyNanos += running.size() * (until - countedAt);
        countedAt = until;
    }

    void enqueue(ModelRun run) {
        queue.add(run);
        startNext();
    }

    /** Cancels a run whose caller has closed the connection. */
    void cancel(ModelRun run) {
        addBusyTime(clock.now());
        run.end();
        running.remove(run);
        queue.remove(run);
        startNext();
    }

    private void startNext() {
        while (running.size() < slots && !queue.isEmpty()) {
            addBusyTime(clock.now());
            ModelRun run = queue.poll();
            running.add(run);
            long nanosPerEvent = NANOS_PER_EVENT + ADDED_NANOS_PER_CALL * (running.size() - 1);
            run.start(clock.now(), FIRST_EVENT_NANOS, nanosPerEvent);
            clock.schedule(clock.now() + FIRST_EVENT_NANOS, () -> run.onFirstEvent(clock.now()));
            clock.schedule(
                    clock.now() + FIRST_EVENT_NANOS + nanosPerEvent * run.eventsLeft(),
                    () -> {
                        addBusyTime(clock.now());
                        if (running.remove(run)) {
                            run.onEnd(clock.now());
                            startNext();
                        }
                    });
        }
    }
}
