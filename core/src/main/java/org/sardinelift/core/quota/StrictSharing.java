package org.sardinelift.core.quota;

import java.time.Duration;

/**
 * How instances divide a limit that must hold in any one second, whether or not they are in
 * contact.
 *
 * <p>An instance that has too small a part of the burst for a request sends in slots of its own
 * instead of saving tokens: instances that have been idle would otherwise spend what they have
 * saved at the same moment. Slots recur at a phase that differs between instances and limits.
 *
 * @param silenceTimeout time without a report after which a peer is assumed to spend its part
 *     unseen
 * @param maxInstances largest number of instances; each uses its part of the limit while it knows
 *     none of the others
 * @param settleTime time from the first peer or list of instances until the known instances are
 *     taken as all
 * @param seed differs between instances
 */
public record StrictSharing(
        Duration silenceTimeout, int maxInstances, Duration settleTime, long seed) {
    private static final double DRAWS = 1L << 32;

    /** Returns the phase of this instance's slots under a limit, between 0 and 1. */
    double phase(String limit) {
        long mixed = (seed * 31 + limit.hashCode()) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 29) * 0xBF58476D1CE4E5B9L;
        return (mixed >>> 32) / DRAWS;
    }
}
