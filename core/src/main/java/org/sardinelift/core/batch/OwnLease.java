package org.sardinelift.core.batch;

import java.time.Duration;

/**
 * This entry's own lease, judged by its monotonic clock at each use, since a paused process cannot
 * know that it was paused.
 */
public final class OwnLease {
    private final long validNanos;
    private long confirmedNanos;
    private boolean confirmed;
    private long unansweredNanos;
    private boolean detached;

    private OwnLease(Duration valid) {
        validNanos = valid.toNanos();
    }

    /**
     * Makes a lease that is not yet held.
     *
     * @param valid time that a renewal holds, counted from before it was sent; less than the time
     *     after which others take it to have lapsed
     * @return the lease
     */
    public static OwnLease of(Duration valid) {
        return new OwnLease(valid);
    }

    /**
     * Notes a confirmed renewal.
     *
     * @param sentNanos time at which it was sent
     */
    public void onRenewed(long sentNanos) {
        confirmedNanos = sentNanos;
        confirmed = true;
        detached = false;
    }

    /**
     * Notes that the platform did not answer a renewal.
     *
     * @param nowNanos time
     */
    public void onUnanswered(long nowNanos) {
        unansweredNanos = nowNanos;
        detached = true;
    }

    /** Notes that the lease belongs to another incarnation. */
    public void onLost() {
        confirmed = false;
        detached = false;
    }

    /**
     * Whether the lease holds.
     *
     * @param nowNanos time
     * @return true where anything may be started
     */
    public boolean isValid(long nowNanos) {
        return confirmed && nowNanos - confirmedNanos < validNanos;
    }

    /**
     * Whether calls that may be repeated may be started: while the lease holds, and through an
     * outage of the platform, in which nobody can claim. The outage must have been seen lately, as
     * this entry may have been paused since. Results still count only under the fence.
     *
     * @param nowNanos time
     * @return true where repeatable calls may be started
     */
    public boolean mayStartRepeatable(long nowNanos) {
        return isValid(nowNanos)
                || confirmed && detached && nowNanos - unansweredNanos < validNanos;
    }
}
