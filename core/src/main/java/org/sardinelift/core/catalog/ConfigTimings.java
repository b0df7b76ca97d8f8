package org.sardinelift.core.catalog;

import java.time.Duration;

/**
 * Intervals and bounds of keeping up with the configuration.
 *
 * @param watchWait longest wait of one watch
 * @param callTimeout time past the wait after which a call is given up and repeated
 * @param retry pause after a failed call
 * @param watchPause pause between two watches, which bounds the calls while much is changing
 * @param gossip interval at which entries tell each other their newest revision
 * @param behindBound time for which an instance may know of a newer revision before it lists again
 * @param isolation time without word from platform or peers after which the instance stops
 *     accepting
 */
public record ConfigTimings(
        Duration watchWait,
        Duration callTimeout,
        Duration retryPause,
        Duration watchPause,
        Duration gossipInterval,
        Duration relistDelay,
        Duration isolationTimeout) {
    private static final int LATE_CALLS = 3;

    /**
     * Intervals that hold a change everywhere within 3 s.
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
     * The longest time for which an instance may accept requests while it knows of a newer
     * configuration that it can't read.
     *
     * @return time for a whole watch and two more calls
     */
    public Duration maxBehind() {
        return watchWait.plus(callTimeout.multipliedBy(LATE_CALLS));
    }
}
