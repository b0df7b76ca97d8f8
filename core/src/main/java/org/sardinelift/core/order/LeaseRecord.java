package org.sardinelift.core.order;

import org.sardinelift.core.batch.Holder;

/**
 * The controller's lease as stored on the platform.
 *
 * @param holder holder of the lease, {@link Holder#NONE} if it was given back
 * @param fence fencing number; grows by at least one with each claim
 * @param renewals number of renewals under this fence
 */
public record LeaseRecord(Holder holder, long fence, long renewals) {
    /** The lease before the first claim. */
    public static final LeaseRecord NONE = new LeaseRecord(Holder.NONE, 0, 0);
}
