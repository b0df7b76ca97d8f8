package org.sardinelift.core.load;

import java.time.Duration;

/**
 * How long work takes at a target, as a multiple of the usual time, from what the target states in
 * its responses. A statement holds for a moment only, as targets share their machines with others;
 * with its age the estimate returns to the mean of all statements. Times are nanoseconds of a
 * monotonic clock. Not thread-safe.
 */
public final class WorkTime {
    /** Weight of the newest statement in the running mean. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /**
     * A target that states less is taken for this fast, so that one that states too little doesn't
     * draw all calls.
     */
    private static final double MIN_MULTIPLE = 0.5;

    /** Age at which a statement has lost two thirds of its weight. */
    private static final Duration RELEVANCE_TIME = Duration.ofMillis(300);

    private double mean;
    private double latest;
    private long statedAt;
    private boolean isStated;

    private WorkTime() {}

    /**
     * Creates the work time of a target that has stated none.
     *
     * @return the work time
     */
    public static WorkTime create() {
        return new WorkTime();
    }

    /**
     * The target stated how long work takes.
     *
     * @param stated multiple of the usual time
     * @param now the time
     */
    public void onStated(double stated, long now) {
        double multiple = Math.max(MIN_MULTIPLE, stated);
        mean = isStated ? mean + SAMPLE_WEIGHT * (multiple - mean) : multiple;
        latest = multiple;
        statedAt = now;
        isStated = true;
    }

    /**
     * Whether the target states how long work takes.
     *
     * @return false before the first statement
     */
    public boolean isStated() {
        return isStated;
    }

    /**
     * How long work is expected to take.
     *
     * @param now the time
     * @return multiple of the usual time; 1 if the target has stated none
     */
    public double estimate(long now) {
        return isStated ? mean + (latest - mean) * relevance(now) : 1;
    }

    /**
     * How much longer work is expected to take than on average at this target. Measured times hold
     * the average already.
     *
     * @param now the time
     * @return multiple of the average; 1 if the target has stated none
     */
    public double deviation(long now) {
        return isStated ? estimate(now) / mean : 1;
    }

    private double relevance(long now) {
        double age = Math.max(0, now - statedAt);
        return Math.exp(-age / RELEVANCE_TIME.toNanos());
    }
}
