package org.sardinelift.bench.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** A target: runs some calls at once and queues the others in the order in which they came. */
final class ModelTarget {
    /** Set-up, prefill of a usual prompt and the steps of the first event. */
    private static final long FIRST_NANOS = 45_000_000L;

    /**
     * Tokens of one event times the time of a step with one call, and what each further one adds.
     */
    private static final long EVENT_NANOS = 6 * 3_192_000L;

    private static final long EVENT_NANOS_PER_CALL = 6 * 102_000L;

    private final String id;
    private final String zone;
    private final int slots;
    private final ModelClock clock;
    private final Set<ModelRun> running = new HashSet<>();
    private final Deque<ModelRun> queue = new ArrayDeque<>();
    private long busyNanos;
    private long countedAt;

    ModelTarget(String id, String zone, int slots, ModelClock clock) {
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

    int calls(boolean batch) {
        return (int)
                (running.stream().filter(run -> run.isBatch() == batch).count()
                        + queue.stream().filter(run -> run.isBatch() == batch).count());
    }

    /** Time of slots in use up to a time. */
    long busyNanos(long until) {
        count(until);
        return busyNanos;
    }

    private void count(long until) {
        busyNanos += running.size() * (until - countedAt);
        countedAt = until;
    }

    void send(ModelRun run) {
        queue.add(run);
        startNext();
    }

    /** The caller closed the connection. */
    void drop(ModelRun run) {
        count(clock.now());
        run.end();
        running.remove(run);
        queue.remove(run);
        startNext();
    }

    private void startNext() {
        while (running.size() < slots && !queue.isEmpty()) {
            count(clock.now());
            ModelRun run = queue.poll();
            running.add(run);
            long event = EVENT_NANOS + EVENT_NANOS_PER_CALL * (running.size() - 1);
            run.start(clock.now(), FIRST_NANOS, event);
            clock.at(clock.now() + FIRST_NANOS, () -> run.onFirstEvent(clock.now()));
            clock.at(
                    clock.now() + FIRST_NANOS + event * run.eventsLeft(),
                    () -> {
                        count(clock.now());
                        if (running.remove(run)) {
                            run.onEnd(clock.now());
                            startNext();
                        }
                    });
        }
    }
}
