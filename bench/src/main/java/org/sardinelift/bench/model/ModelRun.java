package org.sardinelift.bench.model;

/** One run of a call or an item on a target. */
final class ModelRun {
    /** Hears how the run goes. */
    interface Listener {
        default void onFirstEvent(long now) {}

        void onEnd(long now);
    }

    private final boolean batch;
    private final int eventsLeft;
    private final Listener listener;
    private long startedAt = -1;
    private long firstNanos;
    private long eventNanos;
    private boolean ended;

    ModelRun(boolean batch, int eventsLeft, Listener listener) {
        this.batch = batch;
        this.eventsLeft = eventsLeft;
        this.listener = listener;
    }

    boolean isBatch() {
        return batch;
    }

    int eventsLeft() {
        return eventsLeft;
    }

    void start(long now, long first, long event) {
        startedAt = now;
        firstNanos = first;
        eventNanos = event;
    }

    boolean hasStarted() {
        return startedAt >= 0;
    }

    /** Events sent up to now. */
    int events(long now) {
        if (!hasStarted() || now < startedAt + firstNanos) {
            return 0;
        }
        return (int) Math.min(eventsLeft, 1 + (now - startedAt - firstNanos) / eventNanos);
    }

    void end() {
        ended = true;
    }

    void onFirstEvent(long now) {
        if (!ended) {
            listener.onFirstEvent(now);
        }
    }

    void onEnd(long now) {
        if (!ended) {
            ended = true;
            listener.onEnd(now);
        }
    }
}
