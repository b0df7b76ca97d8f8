package org.sardinelift.core.order;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.LeaseMonitor;
import org.sardinelift.core.batch.OwnLease;

/**
 * Decides whether this entry is the one controller, and numbers its orders. A number is the lease's
 * fence, which grows with each claim, followed by a count of the orders given under it: so every
 * order's number is above those of all orders before it, whoever gave them. Whether the lease holds
 * is judged by the monotonic clock whenever a number is taken.
 */
public final class ControllerLease {
    /** Orders under one fence; after so many it is claimed anew. */
    static final long ORDERS_PER_FENCE = 1L << 20;

    private static final String LEASE = "controller";

    private final Holder self;
    private final OwnLease hold;
    private final LeaseMonitor watch;
    private boolean holding;
    private long fence;
    private long count;
    private long leastFence;

    private ControllerLease(Holder self, OrderBounds bounds) {
        this.self = self;
        this.hold = OwnLease.of(bounds.leaseValid());
        this.watch = LeaseMonitor.of(bounds.leaseTimeout());
    }

    /**
     * Makes a lease that is not held.
     *
     * @param self this entry
     * @param bounds times of the lease
     * @return the lease
     */
    public static ControllerLease of(Holder self, OrderBounds bounds) {
        return new ControllerLease(self, bounds);
    }

    /**
     * Takes what the platform holds.
     *
     * @param found the lease, {@link LeaseRecord#NONE} for no object
     * @param version version of the object
     * @param nowNanos time
     * @return what to write over this version, or empty for nothing
     */
    public Optional<LeaseRecord> onRead(LeaseRecord found, long version, long nowNanos) {
        watch.onWatchAnswered(nowNanos);
        Holder holder = found.holder();
        if (holder.isPresent()) {
            watch.onChanged(LEASE, holder.incarnation(), version, nowNanos);
        }
        if (holder.equals(self) && holding && found.fence() == fence && !exhausted()) {
            return Optional.of(new LeaseRecord(self, fence, found.renewals() + 1));
        }
        if (holding && found.fence() > fence) {
            invalidate();
        }
        boolean free =
                !holder.isPresent()
                        || holder.equals(self)
                        || watch.hasLapsed(new Holder(LEASE, holder.incarnation()), nowNanos);
        return free
                ? Optional.of(new LeaseRecord(self, Math.max(found.fence(), leastFence) + 1, 0))
                : Optional.empty();
    }

    /** Notes that the platform gave no answer. */
    public void onUnavailable() {
        watch.onWatchFailed();
    }

    /**
     * Notes that a write took effect.
     *
     * @param written what was written
     * @param sentNanos time at which it was sent
     */
    public void onWritten(LeaseRecord written, long sentNanos) {
        if (!holding || written.fence() != fence) {
            count = 0;
        }
        holding = true;
        fence = written.fence();
        hold.onRenewed(sentNanos);
    }

    /**
     * Whether a number that a target has seen is of a newer claim than this controller's.
     *
     * @param highest the number; the largest of 64 bits stands for one that can't be read
     * @return true where this controller has to claim anew
     */
    public boolean isOvertakenBy(long highest) {
        return highest != Long.MAX_VALUE && fenceOf(highest) > fence;
    }

    /**
     * A target has seen a higher number than this controller's: another one is newer.
     *
     * @param highest the highest number seen
     */
    public void onHigherNumber(long highest) {
        leastFence = Math.max(leastFence, highest / ORDERS_PER_FENCE);
        invalidate();
    }

    /** Gives up what it holds. */
    public void invalidate() {
        holding = false;
        hold.onLost();
    }

    /**
     * Whether orders may be given now.
     *
     * @param nowNanos time
     * @return true while the lease holds
     */
    public boolean isValid(long nowNanos) {
        return holding && hold.isValid(nowNanos);
    }

    /**
     * Number of the lease.
     *
     * @return 0 before the first claim
     */
    public long fence() {
        return fence;
    }

    /**
     * The number of the next order, taken right before it is sent.
     *
     * @param nowNanos time
     * @return the number, or empty where no order may be given
     */
    public OptionalLong nextNumber(long nowNanos) {
        return isValid(nowNanos) && !exhausted()
                ? OptionalLong.of(fence * ORDERS_PER_FENCE + count++)
                : OptionalLong.empty();
    }

    /**
     * The fence within an order's number.
     *
     * @param number the number
     * @return the fence
     */
    public static long fenceOf(long number) {
        return number / ORDERS_PER_FENCE;
    }

    private boolean exhausted() {
        return count >= ORDERS_PER_FENCE;
    }
}
