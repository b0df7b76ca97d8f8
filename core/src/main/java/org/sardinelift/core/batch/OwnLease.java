package org.sardinelift.core.batch;

import java.time.Duration;

/**
 * This entry's own lease. Each use checks its validity against the monotonic clock, since a process
 * cannot know that it was paused.
 */
public final class OwnLease {
    private final long validNanos;
    private long confirmedNanos;
    private boolean isConfirmed;
    private long unansweredNanos;
    private boolean isPlatformUnreachable;

    private OwnLease(Duration valid) {
        validNanos = valid.toNanos();
    }

    /**
     * Creates a lease that is not held yet.
     *
     * @param valid time for which a renewal is valid, counted from before it was sent; less than
     *     the timeout after which other entries consider the lease lapsed
     * @return the lease
     */
    public static OwnLease of(Duration valid) {
        return new OwnLease(valid);
    }

    /**
     * The platform confirmed a renewal.
     *
     * @param sentNanos time before the renewal was sent, monotonic
     */
    public void onRenewed(long sentNanos) {
        confirmedNanos = sentNanos;
        isConfirmed = true;
        isPlatformUnreachable = false;
    }

    /**
     * The platform did not answer a renewal.
     *
     * @param nowNanos current time, monotonic
     */
    public void onUnanswered(long nowNanos) {
        unansweredNanos = nowNanos;
        isPlatformUnreachable = true;
    }

    /** The lease was given up or belongs to another incarnation. */
    public void onLost() {
        isConfirmed = false;
        isPlatformUnreachable = false;
    }

    /**
     * Whether the lease is valid, so that any call may be started.
     *
     * @param nowNanos current time, monotonic
     * @return true if it is valid
     */
    public boolean isValid(long nowNanos) {
        return isConfirmed && nowNanos - confirmedNanos < validNanos;
    }

    /**
     * Whether calls that may be repeated may be started: while the lease is valid, and during an
     * outage of the platform, when no other entry can claim the jobs. The outage must have been
     * seen recently, as this entry may have been paused since. Results are still accepted only
     * under the current fence.
     *
     * @param nowNanos current time, monotonic
     * @return true if they may be started
     */
    public boolean mayStartRepeatable(long nowNanos) {
        return isValid(nowNanos)
                || isConfirmed && isPlatformUnreachable && nowNanos - unansweredNanos < validNanos;
    }
}
