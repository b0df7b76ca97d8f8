package org.sardinelift.bench.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.sardinelift.http.HttpResponseListener;

/** Measures the times of the events of one streamed answer. */
final class StreamTimer implements HttpResponseListener {
    private static final byte[] EVENT_PREFIX = {'d', 'a', 't', 'a', ':', ' ', '{'};

    private final Arrival arrival;
    private final long plannedNanos;
    private final LongConsumer gapNanos;
    private final CompletableFuture<Sample> result = new CompletableFuture<>();
    private int status;
    private int column;
    private boolean matchesPrefix = true;
    private int eventCount;
    private boolean isComplete;
    private long firstNanos;
    private long lastNanos;
    private long pendingGapNanos = -1;

    StreamTimer(Arrival arrival, long plannedNanos, LongConsumer gapNanos) {
        this.arrival = arrival;
        this.plannedNanos = plannedNanos;
        this.gapNanos = gapNanos;
    }

    CompletableFuture<Sample> result() {
        return result;
    }

    @Override
    public void onHead(int code, List<Map.Entry<String, String>> headers) {
        status = code;
    }

    @Override
    public void onData(byte[] part) {
        long now = System.nanoTime();
        for (byte next : part) {
            onByte(next, now);
        }
    }

    @Override
    public void onEnd() {
        isComplete = true;
        complete();
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        complete();
    }

    private void complete() {
        // The last event has no token, only the finish reason.
        int tokens = Math.max(0, eventCount - 1);
        result.complete(
                new Sample(
                        arrival,
                        isComplete ? status : 0,
                        isComplete,
                        firstNanos - plannedNanos,
                        tokens));
    }

    private void onByte(byte next, long now) {
        if (next == '\n') {
            column = 0;
            matchesPrefix = true;
            return;
        }
        if (column < EVENT_PREFIX.length) {
            matchesPrefix &= next == EVENT_PREFIX[column];
            if (column == EVENT_PREFIX.length - 1 && matchesPrefix) {
                onEvent(now);
            }
        }
        column++;
    }

    private void onEvent(long now) {
        if (pendingGapNanos >= 0) {
            gapNanos.accept(pendingGapNanos);
        }
        pendingGapNanos = eventCount == 0 ? -1 : now - lastNanos;
        if (eventCount == 0) {
            firstNanos = now;
        }
        lastNanos = now;
        eventCount++;
    }
}
