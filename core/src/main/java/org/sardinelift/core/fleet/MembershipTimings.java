package org.sardinelift.core.fleet;

import java.time.Duration;

/**
 * Interval and time limit of {@link Membership}.
 *
 * @param pollInterval interval of reading the platform's list
 * @param goneAfter time for which an instance must be missing from the list, with no connection to
 *     it, before it is removed
 */
public record MembershipTimings(Duration pollInterval, Duration goneAfter) {

    /**
     * Returns the defaults.
     *
     * @return the default timings
     */
    public static MembershipTimings defaults() {
        return new MembershipTimings(Duration.ofMillis(1_000), Duration.ofMillis(10_000));
    }
}
