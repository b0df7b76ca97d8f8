package org.sardinelift.bench.model;

/** A run of a call or batch item on a target. */
final class ModelRun {
    /** Receives the progress of a run. */
    interface Listener {
        default void onFirstEvent(long now) {}

        void onEnd(long now);
    }

    private final boolean isBatch;
    private final int eventsLeft;
    private final Listener listener;
    private long startedAt = -1;
    private long firstNanos;
    private long eventNanos;
    private boolean hasEnded;

    ModelRun(boolean isBatch, int eventsLeft, Listener listener) {
        this.isBatch = isBatch;
        this.eventsLeft = eventsLeft;
        this.listener = listener;
    }

    boolean isBatch() {
        return isBatch;
    }

    int eventsLeft() {
        return eventsLeft;
    }

    void start(long now, long firstEventNanos, long nanosPerEvent) {
        startedAt = now;
        firstNanos = firstEventNanos;
        eventNanos = nanosPerEvent;
    }

    boolean hasStarted() {
        return startedAt >= 0;
    }

    /** Returns the number of events sent by the given time. */
    int eventsSent(long now) {
        if (!hasStarted() || now < startedAt + firstNanos) {
            return 0;
        }
        return (int) Math.min(eventsLeft, 1 + (now - startedAt - firstNanos) / eventNanos);
    }

    void end() {
        hasEnded = true;
    }

    void onFirstEvent(long now) {
        if (!hasEnded) {
            listener.onFirstEvent(now);
        }
    }

    void onEnd(long now) {
        if (!hasEnded) {
            hasEnded = true;
            listener.onEnd(now);
        }
    }
}
