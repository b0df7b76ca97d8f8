package org.sardinelift.core.order;

import java.time.Duration;

/**
 * Intervals and bounds of orders.
 *
 * @param pollInterval time between two reads of the lease and the roll-outs
 * @param leaseValid time for which a renewal is valid, counted from before it was sent
 * @param leaseTimeout time without a change after which other entries consider the lease lapsed
 * @param maxLoadsInFlight most targets with an order under way at once, over all roll-outs
 * @param loadsPerMinute most loads from the weight store in a minute, evenly spaced
 * @param loadTimeout longest time from the first sending of an order to its target serving again
 * @param retryPause pause before an order that a companion refused, or that did not bring a target
 *     back, is sent again
 * @param goneTimeout time after which a target that is no longer seen is given up
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
     * Returns the default bounds.
     *
     * @return the bounds
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
