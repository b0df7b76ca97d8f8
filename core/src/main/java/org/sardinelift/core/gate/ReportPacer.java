package org.sardinelift.core.gate;

import java.time.Duration;

/**
 * When a companion tells entries its load: a change at once, but no two reports of changes closer
 * together than an interval, and without a change only a slow refresh. Times are nanoseconds of a
 * monotonic clock. Not safe for use by several threads.
 */
public final class ReportPacer {
    private final long intervalNanos;
    private final long refreshNanos;
    private boolean changed;
    private long lastNanos;

    private ReportPacer(Duration interval, Duration refresh, long nowNanos) {
        intervalNanos = interval.toNanos();
        refreshNanos = refresh.toNanos();
        lastNanos = nowNanos - intervalNanos;
    }

    /**
     * A pace that lets the first change be told at once.
     *
     * @param interval shortest time between two reports of changes
     * @param refresh time after which an unchanged load is told again
     * @param nowNanos time now
     * @return the pace
     */
    public static ReportPacer of(Duration interval, Duration refresh, long nowNanos) {
        return new ReportPacer(interval, refresh, nowNanos);
    }

    /** The load has changed since the last report. */
    public void onChange() {
        changed = true;
    }

    /**
     * A report was sent.
     *
     * @param nowNanos time now
     */
    public void onReportSent(long nowNanos) {
        changed = false;
        lastNanos = nowNanos;
    }

    /**
     * When the next report is due.
     *
     * @param nowNanos time now
     * @return time from now, in nanoseconds; 0 where it is due
     */
    public long nanosUntilDue(long nowNanos) {
        long pause = changed ? intervalNanos : refreshNanos;
        return Math.max(0, lastNanos + pause - nowNanos);
    }
}
