package org.sardinelift.core.fleet;

import java.time.Duration;

/**
 * Intervals and bounds of membership.
 *
 * @param pollInterval interval of reading the platform's list
 * @param goneAfter time for which an instance must be missing from the list, with no connection to
 *     it, before it is taken as gone
 */
public record MembershipTimings(Duration pollInterval, Duration goneAfter) {

    /**
     * The defaults.
     *
     * @return intervals and bounds
     */
    public static MembershipTimings defaults() {
        return new MembershipTimings(Duration.ofMillis(1_000), Duration.ofMillis(10_000));
    }
}
