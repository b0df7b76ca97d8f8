package org.sardinelift.core.load;

import java.time.Duration;

/**
 * When refused callers are told to come back.
 *
 * <p>Load answered: steps of traffic above what the targets can take, for seconds, with less than
 * that in between. While calls that are new take more slots than come free, whoever returns meets
 * the same peak, so that callers are told the longest time that they honour. Otherwise each is
 * given the time at which a slot is expected that no earlier refusal was given, so that those who
 * return don't come as one wave. Times are nanoseconds of a monotonic clock. Not safe for use by
 * several threads at once.
 */
public final class RetryAfterSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time over which the rate of new calls is taken; a fraction of a step of the traffic. */
    private static final double RATE_SECONDS = 0.4;

    /** Part of the slots that must be spare for a time to be reckoned from it. */
    private static final double LEAST_SPARE = 0.1;

    /** Part of the longest time by which callers are spread who are all told about as long. */
    private static final double SPREAD = 0.15;

    /** A caller that is back sooner has spent its attempt on the same moment. */
    private static final Duration SHORTEST = Duration.ofMillis(60);

    private long lastGiven;
    private boolean given;
    private double callsPerSecond;
    private long countedAt;

    private RetryAfterSchedule() {}

    /**
     * Nobody was refused yet.
     *
     * @return the times
     */
    public static RetryAfterSchedule create() {
        return new RetryAfterSchedule();
    }

    /**
     * A call has come that was not refused before.
     *
     * @param now the time
     */
    public void onNewCall(long now) {
        callsPerSecond = rate(now) + 1 / RATE_SECONDS;
        countedAt = now;
    }

    private double rate(long now) {
        double seconds = (now - countedAt) / NANOS_PER_SECOND;
        return callsPerSecond * Math.exp(-seconds / RATE_SECONDS);
    }

    /**
     * Gives the next time.
     *
     * @param untilRoom expected time until there is room for one call
     * @param slotsPerSecond slots that become free for callers of this gateway
     * @param longest longest time that the caller honours
     * @param draw number spread evenly over the calls
     * @param now the time
     * @return when to come back, from now
     */
    public Duration nextRetryAfter(
            Duration untilRoom, double slotsPerSecond, Duration longest, long draw, long now) {
        double spare = slotsPerSecond - rate(now);
        if (spare <= LEAST_SPARE * slotsPerSecond) {
            double part = 1 - SPREAD * Math.floorMod(draw, 1_000) / 1_000.0;
            return Duration.ofNanos((long) (longest.toNanos() * part));
        }
        long earliest = now + Math.max(untilRoom.toNanos(), SHORTEST.toNanos());
        long interval = (long) (NANOS_PER_SECOND / spare);
        long time = given ? Math.max(earliest, lastGiven + interval) : earliest;
        long latest = now + longest.toNanos();
        // More were refused than there is room for in time: the next ones share the same span.
        lastGiven = time > latest ? earliest : time;
        given = true;
        return Duration.ofNanos(Math.min(time, latest) - now);
    }
}
