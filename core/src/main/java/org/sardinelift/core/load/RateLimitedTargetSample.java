package org.sardinelift.core.load;

/**
 * Decides which calls may choose a target that limits the rate of its requests.
 *
 * <p>A target far below its capacity has free slots, so at the moment at which its limit allows a
 * request it is the best choice of every instance, and all of them would send one before they hear
 * of each other. A random part of the fleet's calls is therefore offered the target: a few times
 * the calls that the limit allows, or those that arrive while one report travels if they are more.
 * The rest choose another target as if this one were full.
 */
public final class RateLimitedTargetSample {
    /** Enough that the limit is used up while calls arrive at random. */
    private static final double OFFERS_PER_ALLOWED_REQUEST = 4;

    /** Time for a report to reach the other instances, through a relay to other zones. */
    private static final double REPORT_SECONDS = 0.03;

    /**
     * The same for a cold target, which must not get more while instances lose contact: until they
     * notice that, all calls that are offered it may be sent.
     */
    private static final double OFFERS_PER_REQUEST_WHILE_COLD = 2;

    /** Offers to a cold target per second at the lowest limits. */
    private static final double MIN_OFFERS_WHILE_COLD = 15;

    /** Time between two looks of a worker for free slots. */
    private static final long ITEM_TURN_NANOS = 50_000_000L;

    private static final double DRAWS = 1L << 32;

    private RateLimitedTargetSample() {}

    /**
     * Returns whether a call may choose a target.
     *
     * @param target the target
     * @param limitPerSecond requests per second that it takes
     * @param fleetCallsPerSecond calls per second that arrive at all instances
     * @param draw number distributed evenly over the calls
     * @return false if the call has to choose another target
     */
    public static boolean includes(
            String target, double limitPerSecond, double fleetCallsPerSecond, long draw) {
        return isDrawn(
                target,
                Math.max(OFFERS_PER_ALLOWED_REQUEST * limitPerSecond, 1 / REPORT_SECONDS),
                fleetCallsPerSecond,
                draw);
    }

    /**
     * Returns whether a call may choose a cold target.
     *
     * @param target the target
     * @param limitPerSecond requests per second that it takes
     * @param fleetCallsPerSecond calls per second that arrive at all instances
     * @param draw number distributed evenly over the calls
     * @return false if the call has to choose another target
     */
    public static boolean includesCold(
            String target, double limitPerSecond, double fleetCallsPerSecond, long draw) {
        return isDrawn(
                target,
                Math.max(OFFERS_PER_REQUEST_WHILE_COLD * limitPerSecond, MIN_OFFERS_WHILE_COLD),
                fleetCallsPerSecond,
                draw);
    }

    /**
     * Returns whether a worker may start a batch item on a cold target now. All workers see the
     * moment at which its limit allows a request, so that each has a turn of its own.
     *
     * @param target the target
     * @param instance name of the worker
     * @param workers number of workers
     * @param now the time, nanoseconds
     * @return true for one worker at a time on average
     */
    public static boolean includesColdItem(String target, String instance, long workers, long now) {
        long turn = now / ITEM_TURN_NANOS;
        return isDrawn(target, 1, workers, turn * 0xBF58476D1CE4E5B9L + instance.hashCode());
    }

    private static boolean isDrawn(
            String target, double offersPerSecond, double fleetCallsPerSecond, long draw) {
        long mixed = (draw ^ target.hashCode()) * 0x9E3779B97F4A7C15L;
        double position = (mixed >>> 32) / DRAWS;
        return position * fleetCallsPerSecond < offersPerSecond;
    }
}
