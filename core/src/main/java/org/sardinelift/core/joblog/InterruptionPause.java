package org.sardinelift.core.joblog;

import java.time.Duration;

/**
 * Pause of an item after runs that were interrupted without progress.
 *
 * <p>Targets die in bursts, and an item that ran on several of them is still owed and taken as
 * sound: it pauses only so long that it doesn't follow the deaths from target to target, and is
 * placed again soon after they end. Should an item crash its targets all the same, it takes at most
 * one in each longest pause until its retention time is over.
 */
public final class InterruptionPause {
    private static final int INTERRUPTIONS_WITHOUT_PAUSE = 2;
    private static final Duration FIRST = Duration.ofMillis(200);
    private static final Duration LONGEST = Duration.ofSeconds(2);
    private static final int MAX_DOUBLINGS = 10;

    private InterruptionPause() {}

    /**
     * Returns the pause before the next run.
     *
     * @param interruptions number of interruptions since the last progress
     * @return the pause
     */
    public static Duration after(int interruptions) {
        int doublings = interruptions - INTERRUPTIONS_WITHOUT_PAUSE - 1;
        if (doublings < 0) {
            return Duration.ZERO;
        }
        Duration pause = FIRST.multipliedBy(1L << Math.min(MAX_DOUBLINGS, doublings));
        return pause.compareTo(LONGEST) < 0 ? pause : LONGEST;
    }
}
