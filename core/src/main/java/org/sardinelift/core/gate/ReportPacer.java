package org.sardinelift.core.gate;

import java.time.Duration;

/**
 * Decides when a companion reports its load to the entries: a change at once, but with a minimum
 * interval between two reports of changes, and an unchanged load at a longer refresh interval.
 * Times are nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ReportPacer {
    private final long intervalNanos;
    private final long refreshNanos;
    private boolean hasChanged;
    private long lastNanos;

    private ReportPacer(Duration interval, Duration refresh, long nowNanos) {
        intervalNanos = interval.toNanos();
        refreshNanos = refresh.toNanos();
        lastNanos = nowNanos - intervalNanos;
    }

    /**
     * Creates a pacer that lets the first change be reported at once.
     *
     * @param interval shortest time between two reports of changes
     * @param refresh time after which an unchanged load is reported again
     * @param nowNanos time now
     * @return the pacer
     */
    public static ReportPacer of(Duration interval, Duration refresh, long nowNanos) {
        return new ReportPacer(interval, refresh, nowNanos);
    }

    /** Records that the load has changed since the last report. */
    public void onChange() {
        hasChanged = true;
    }

    /**
     * Records that a report was sent.
     *
     * @param nowNanos time now
     */
    public void onReportSent(long nowNanos) {
        hasChanged = false;
        lastNanos = nowNanos;
    }

    /**
     * Returns the time until the next report is due.
     *
     * @param nowNanos time now
     * @return nanoseconds, 0 if it is due
     */
    public long nanosUntilDue(long nowNanos) {
        long pause = hasChanged ? intervalNanos : refreshNanos;
        return Math.max(0, lastNanos + pause - nowNanos);
    }
}
