package org.sardinelift.core.evacuation;

import java.time.Duration;

/**
 * Times of the lists of evacuations.
 *
 * @param listInterval time between two lists by the reader of a zone
 * @param retryInterval time between a list that failed and the next one
 * @param maxReaderAge age of a peer's list from which this instance lists instead
 * @param listRepeatPeriod time for which the reports of a reader repeat a list without a change
 * @param changeRepeatPeriod time for which reports repeat a change
 */
public record EvacuationBounds(
        Duration listInterval,
        Duration retryInterval,
        Duration maxReaderAge,
        Duration listRepeatPeriod,
        Duration changeRepeatPeriod) {
    /** A second, minus the time of a list call and of a report. */
    private static final Duration LONGEST_LIST_INTERVAL = Duration.ofMillis(900);

    /** More than two heartbeat intervals of other zones. */
    private static final Duration CHANGE_REPEAT_PERIOD = Duration.ofMillis(700);

    /**
     * A loss of the reader just before an evacuation costs its longest age and one failed list
     * call; with a fifth of the time as the interval both leave half of the time as slack.
     */
    private static final int LISTS_WITHIN_APPLY_TIME = 5;

    /**
     * Returns the times with which an evacuation takes effect in time.
     *
     * @param applyTime time within which an evacuation must take effect
     * @return the times
     */
    public static EvacuationBounds within(Duration applyTime) {
        Duration part = applyTime.dividedBy(LISTS_WITHIN_APPLY_TIME);
        Duration interval =
                part.compareTo(LONGEST_LIST_INTERVAL) < 0 ? part : LONGEST_LIST_INTERVAL;
        return new EvacuationBounds(
                interval,
                interval.dividedBy(3),
                interval.multipliedBy(5).dividedBy(3),
                interval.dividedBy(3),
                CHANGE_REPEAT_PERIOD);
    }
}
