package org.sardinelift.core.load;

import java.time.Duration;

/**
 * When refused callers are told to come back. Each is given the time at which a slot is expected
 * that no earlier refusal was given, so that those who return don't come as one wave.
 *
 * <p>Load answered: a burst of which a part is refused within a fraction of a second. Times are
 * nanoseconds of a monotonic clock. Not safe for use by several threads at once.
 */
public final class ReturnTimes {
    private long lastGiven;
    private boolean given;

    private ReturnTimes() {}

    /**
     * Nobody was refused yet.
     *
     * @return the times
     */
    public static ReturnTimes create() {
        return new ReturnTimes();
    }

    /**
     * Gives the next time.
     *
     * @param untilRoom expected time until there is room for one call
     * @param interval expected time between two slots that callers of this gateway get
     * @param longest longest time that the caller honours
     * @param now the time
     * @return when to come back, from now
     */
    public Duration next(Duration untilRoom, Duration interval, Duration longest, long now) {
        long earliest = now + untilRoom.toNanos();
        long time = given ? Math.max(earliest, lastGiven + interval.toNanos()) : earliest;
        long latest = now + longest.toNanos();
        long chosen = Math.min(time, latest);
        lastGiven = Math.max(chosen, given ? lastGiven : chosen);
        if (time > latest) {
            // More were refused than there is room for: the next ones share the same span.
            lastGiven = earliest;
        }
        given = true;
        return Duration.ofNanos(Math.max(0, chosen - now));
    }
}
