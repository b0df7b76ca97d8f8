package org.sardinelift.core.catalog;

import java.time.Duration;

/**
 * Intervals and bounds of {@link ConfigSync}.
 *
 * @param watchWait longest wait of one watch
 * @param callTimeout time after the wait until a call is given up and repeated
 * @param retryPause pause after a failed call
 * @param watchPause pause between two watches; bounds the number of calls while many objects change
 * @param gossipInterval interval at which entries send each other their newest revision
 * @param relistDelay time for which an instance may know of a newer revision before it lists again
 * @param isolationTimeout time without contact to platform or peers after which the instance stops
 *     accepting requests
 */
public record ConfigTimings(
        Duration watchWait,
        Duration callTimeout,
        Duration retryPause,
        Duration watchPause,
        Duration gossipInterval,
        Duration relistDelay,
        Duration isolationTimeout) {
    private static final int CALL_TIMEOUTS_BEHIND = 3;

    /**
     * Returns intervals with which a change is in effect on every instance within 3 s.
     *
     * @return the defaults
     */
    public static ConfigTimings defaults() {
        return new ConfigTimings(
                Duration.ofMillis(1_000),
                Duration.ofMillis(500),
                Duration.ofMillis(200),
                Duration.ofMillis(50),
                Duration.ofMillis(500),
                Duration.ofMillis(400),
                Duration.ofMillis(10_000));
    }

    /**
     * Returns the longest time for which an instance may accept requests while it knows of a newer
     * configuration that it can't read.
     *
     * @return time for a whole watch and two more calls
     */
    public Duration maxBehind() {
        return watchWait.plus(callTimeout.multipliedBy(CALL_TIMEOUTS_BEHIND));
    }
}
