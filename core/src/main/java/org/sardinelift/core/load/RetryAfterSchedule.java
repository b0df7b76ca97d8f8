package org.sardinelift.core.load;

import java.time.Duration;

/**
 * Determines the Retry-After times of refused callers.
 *
 * <p>Traffic exceeds the capacity of the targets for seconds at a time and stays below it in
 * between. While new calls take more slots than become free, a returning caller meets the same
 * peak, so callers are told the longest time that they honour. Otherwise each is told the time of
 * the next expected free slot that no earlier refusal was given, so that callers do not return in
 * one wave. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class RetryAfterSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Time over which the rate of new calls is averaged; a fraction of the length of a traffic
     * peak.
     */
    private static final Duration RATE_WINDOW = Duration.ofMillis(400);

    /** Fraction of the freed slots that new calls must leave for times to be based on the rest. */
    private static final double MIN_SPARE_FRACTION = 0.1;

    /** Callers told to wait for the longest time are spread over this last fraction of it. */
    private static final double LONGEST_SPREAD_FRACTION = 0.15;

    /** A caller that returns sooner wastes its attempt on the same peak. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(60);

    private final CallRate newCalls = CallRate.averagedOver(RATE_WINDOW);
    private long lastReturn;
    private boolean hasLastReturn;

    private RetryAfterSchedule() {}

    /**
     * Creates a schedule without refusals.
     *
     * @return the schedule
     */
    public static RetryAfterSchedule create() {
        return new RetryAfterSchedule();
    }

    /**
     * A call arrived that had not been refused before.
     *
     * @param now the time
     */
    public void onNewCall(long now) {
        newCalls.onCall(now);
    }

    /**
     * Returns the time after which the next refused caller should return.
     *
     * @param untilCapacity expected time until there is capacity for one call
     * @param slotsPerSecond slots per second that become free for callers of this gateway
     * @param longest longest time that the caller honours
     * @param draw number distributed evenly over the calls
     * @param now the time
     * @return the time from now
     */
    public Duration nextRetryAfter(
            Duration untilCapacity, double slotsPerSecond, Duration longest, long draw, long now) {
        double spareSlotsPerSecond = slotsPerSecond - newCalls.perSecond(now);
        if (spareSlotsPerSecond <= MIN_SPARE_FRACTION * slotsPerSecond) {
            double fraction = 1 - LONGEST_SPREAD_FRACTION * Math.floorMod(draw, 1_000) / 1_000.0;
            return Duration.ofNanos((long) (longest.toNanos() * fraction));
        }
        long earliest = now + Math.max(untilCapacity.toNanos(), MIN_RETRY_AFTER.toNanos());
        long interval = (long) (NANOS_PER_SECOND / spareSlotsPerSecond);
        long time = hasLastReturn ? Math.max(earliest, lastReturn + interval) : earliest;
        long latest = now + longest.toNanos();
        // All slots up to the latest time are assigned, so they are assigned again from the first.
        lastReturn = time > latest ? earliest : time;
        hasLastReturn = true;
        return Duration.ofNanos(Math.min(time, latest) - now);
    }
}
