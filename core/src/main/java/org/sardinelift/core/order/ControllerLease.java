package org.sardinelift.core.order;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.LeaseMonitor;
import org.sardinelift.core.batch.OwnLease;

/**
 * Decides whether this entry is the one controller, and numbers its orders. The number of an order
 * is the lease's fence, which grows with each claim, followed by a count of the orders given under
 * that fence. So it is above the numbers of all earlier orders, whichever entry gave them. The
 * lease is checked against the monotonic clock each time a number is assigned.
 */
public final class ControllerLease {
    /** Most orders under one fence; then the lease is claimed anew. */
    static final long ORDERS_PER_FENCE = 1L << 20;

    private static final String INSTANCE = "controller";

    private final Holder self;
    private final OwnLease lease;
    private final LeaseMonitor monitor;
    private boolean isHeld;
    private long fence;
    private long orderCount;
    private long minFence;

    private ControllerLease(Holder self, OrderBounds bounds) {
        this.self = self;
        this.lease = OwnLease.of(bounds.leaseValid());
        this.monitor = LeaseMonitor.of(bounds.leaseTimeout());
    }

    /**
     * Creates a lease that is not held.
     *
     * @param self this entry
     * @param bounds times of the lease
     * @return the lease
     */
    public static ControllerLease of(Holder self, OrderBounds bounds) {
        return new ControllerLease(self, bounds);
    }

    /**
     * Processes the lease object as read from the platform.
     *
     * @param found the lease, {@link LeaseRecord#NONE} if there is no object
     * @param version version of the object
     * @param nowNanos current time, monotonic
     * @return the lease to write over this version, or empty if nothing is to be written
     */
    public Optional<LeaseRecord> onRead(LeaseRecord found, long version, long nowNanos) {
        monitor.onWatchAnswered(nowNanos);
        Holder holder = found.holder();
        if (holder.isPresent()) {
            monitor.onChanged(INSTANCE, holder.incarnation(), version, nowNanos);
        }
        if (holder.equals(self) && isHeld && found.fence() == fence && !isExhausted()) {
            return Optional.of(new LeaseRecord(self, fence, found.renewals() + 1));
        }
        if (isHeld && found.fence() > fence) {
            invalidate();
        }
        boolean isFree =
                !holder.isPresent()
                        || holder.equals(self)
                        || monitor.hasLapsed(new Holder(INSTANCE, holder.incarnation()), nowNanos);
        return isFree
                ? Optional.of(new LeaseRecord(self, Math.max(found.fence(), minFence) + 1, 0))
                : Optional.empty();
    }

    /** The platform did not answer. */
    public void onUnavailable() {
        monitor.onWatchFailed();
    }

    /**
     * A write of the lease took effect.
     *
     * @param written the lease written
     * @param sentNanos time before the write was sent, monotonic
     */
    public void onWritten(LeaseRecord written, long sentNanos) {
        if (!isHeld || written.fence() != fence) {
            orderCount = 0;
        }
        isHeld = true;
        fence = written.fence();
        lease.onRenewed(sentNanos);
    }

    /**
     * Whether an order number seen by a target belongs to a newer claim than this controller's.
     *
     * @param highest highest number seen; the largest 64-bit number stands for one that can't be
     *     read
     * @return true if this controller has to claim the lease anew
     */
    public boolean isOvertakenBy(long highest) {
        return highest != Long.MAX_VALUE && fenceOf(highest) > fence;
    }

    /**
     * A target has seen a higher number than this controller's, so a newer controller exists.
     *
     * @param highest the highest number seen
     */
    public void onHigherNumber(long highest) {
        minFence = Math.max(minFence, highest / ORDERS_PER_FENCE);
        invalidate();
    }

    /** Gives up the lease. */
    public void invalidate() {
        isHeld = false;
        lease.onLost();
    }

    /**
     * Whether orders may be given now.
     *
     * @param nowNanos current time, monotonic
     * @return true while the lease is held and valid
     */
    public boolean isValid(long nowNanos) {
        return isHeld && lease.isValid(nowNanos);
    }

    /**
     * Returns the fence of the lease.
     *
     * @return the fence, 0 before the first claim
     */
    public long fence() {
        return fence;
    }

    /**
     * Returns the number of the next order; called right before the order is sent.
     *
     * @param nowNanos current time, monotonic
     * @return the number, or empty if no order may be given
     */
    public OptionalLong nextNumber(long nowNanos) {
        return isValid(nowNanos) && !isExhausted()
                ? OptionalLong.of(fence * ORDERS_PER_FENCE + orderCount++)
                : OptionalLong.empty();
    }

    /**
     * Extracts the fence from the number of an order.
     *
     * @param number the number
     * @return the fence
     */
    public static long fenceOf(long number) {
        return number / ORDERS_PER_FENCE;
    }

    private boolean isExhausted() {
        return orderCount >= ORDERS_PER_FENCE;
    }
}
