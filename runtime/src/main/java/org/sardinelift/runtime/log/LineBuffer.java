package org.sardinelift.runtime.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lines that wait to be written, within a rate and a number. What doesn't fit is counted and left
 * out: low levels first, since a reserve of the rate is kept for warnings and errors.
 */
final class LineBuffer {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of the burst that only warnings and errors may use. */
    private static final double RESERVE = 0.2;

    private final double linesPerSecond;
    private final double burst;
    private final int maxWaiting;
    private final Deque<String> lines = new ArrayDeque<>();
    private double tokens;
    private long filledAt;
    private long dropped;

    LineBuffer(double linesPerSecond, double burst, int maxWaiting, long nowNanos) {
        this.linesPerSecond = linesPerSecond;
        this.burst = burst;
        this.maxWaiting = maxWaiting;
        this.tokens = burst;
        this.filledAt = nowNanos;
    }

    /** Takes a line, or counts it as dropped. */
    synchronized void add(String line, boolean important, long nowNanos) {
        double earned = (nowNanos - filledAt) / NANOS_PER_SECOND * linesPerSecond;
        tokens = Math.min(burst, tokens + earned);
        filledAt = nowNanos;
        double least = important ? 1 : 1 + burst * RESERVE;
        if (tokens < least || lines.size() >= maxWaiting) {
            dropped++;
            return;
        }
        tokens--;
        lines.add(line);
    }

    /** Takes all waiting lines as one text, empty where there are none. */
    synchronized String drain() {
        StringBuilder text = new StringBuilder();
        while (!lines.isEmpty()) {
            text.append(lines.poll()).append('\n');
        }
        return text.toString();
    }

    /** Lines left out since the last call. */
    synchronized long drainDroppedCount() {
        long count = dropped;
        dropped = 0;
        return count;
    }
}
