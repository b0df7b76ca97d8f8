package org.sardinelift.runtime.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Log lines that wait to be written, limited in number and, by a token bucket, in rate. Lines
 * beyond the limits are dropped and counted, low levels first: part of the burst is reserved for
 * warnings and errors. Thread-safe.
 */
final class LineBuffer {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Fraction of the burst that only warnings and errors may use. */
    private static final double RESERVED_BURST_FRACTION = 0.2;

    private final double linesPerSecond;
    private final double burst;
    private final int maxLines;
    private final Deque<String> lines = new ArrayDeque<>();
    private double tokens;
    private long refilledAtNanos;
    private long dropped;

    LineBuffer(double linesPerSecond, double burst, int maxLines, long nowNanos) {
        this.linesPerSecond = linesPerSecond;
        this.burst = burst;
        this.maxLines = maxLines;
        this.tokens = burst;
        this.refilledAtNanos = nowNanos;
    }

    /** Adds a line, or counts it as dropped. */
    synchronized void add(String line, boolean isImportant, long nowNanos) {
        double refill = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * linesPerSecond;
        tokens = Math.min(burst, tokens + refill);
        refilledAtNanos = nowNanos;
        double requiredTokens = isImportant ? 1 : 1 + burst * RESERVED_BURST_FRACTION;
        if (tokens < requiredTokens || lines.size() >= maxLines) {
            dropped++;
            return;
        }
        tokens--;
        lines.add(line);
    }

    /** Removes all waiting lines and returns them as one text, empty if there are none. */
    synchronized String drain() {
        StringBuilder text = new StringBuilder();
        while (!lines.isEmpty()) {
            text.append(lines.poll()).append('\n');
        }
        return text.toString();
    }

    /** Returns the number of lines dropped since the last call. */
    synchronized long drainDroppedCount() {
        long count = dropped;
        dropped = 0;
        return count;
    }
}
