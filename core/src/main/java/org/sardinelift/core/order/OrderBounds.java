package org.sardinelift.core.order;

import java.time.Duration;

/**
 * Intervals and bounds of orders.
 *
 * @param period time between two looks at the lease and the wanted state
 * @param leaseValid time that a renewal holds, counted from before it was sent
 * @param leaseTimeout time without a change after which others take the lease to have lapsed
 * @param loadsInFlight targets under order at once, over all roll-outs
 * @param loadsPerMinute loads that the weight store is asked for in a minute, evenly spaced
 * @param loadBound longest time from the first sending of an order to its target serving again
 * @param retryPause pause before an order that a companion refused, or that did not bring a target
 *     back, is sent again
 * @param goneTimeout time after which a target that is not seen any more is given up
 * @param maxTargets most targets of one roll-out, which bounds its state
 */
public record OrderBounds(
        Duration pollInterval,
        Duration leaseValid,
        Duration leaseTimeout,
        int maxLoadsInFlight,
        int loadsPerMinute,
        Duration loadTimeout,
        Duration retryPause,
        Duration goneTimeout,
        int maxTargets) {
    private static final int DEFAULT_MAX_TARGETS = 2_000;

    /**
     * The default bounds.
     *
     * @return bounds
     */
    public static OrderBounds defaults() {
        return new OrderBounds(
                Duration.ofSeconds(2),
                Duration.ofSeconds(8),
                Duration.ofSeconds(15),
                2,
                30,
                Duration.ofMinutes(3),
                Duration.ofSeconds(5),
                Duration.ofMinutes(1),
                DEFAULT_MAX_TARGETS);
    }
}
