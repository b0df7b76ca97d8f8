package org.sardinelift.core.limit;

import java.time.Duration;

/**
 * Intervals and bounds of the fleet-wide limits.
 *
 * @param loanTtl time for which borrowed tokens may be spent, from the sending of the request
 * @param loanMargin time past the ttl after which a lender takes a loan as expired
 * @param gatherBound longest time for which a request waits for loans
 * @param gatherPass time after which peers that had nothing are asked once more
 * @param fanOut peers that are asked at once
 * @param prefetch time of the team's rate that is borrowed beyond the need
 * @param maxWaiting requests of one team that may wait for loans
 * @param minGatherPause shortest time between two rounds of borrowing for one team
 * @param readInterval interval of reading the shares
 * @param callTimeout longest time for which an answer of the platform counts
 * @param retry pause after a failed call
 * @param pauseBound time without a control step after which the share must be confirmed again
 * @param contactBound time without the platform, while a peer reaches it, after which the share
 *     isn't used
 * @param isolationBound time without platform and peers after which the share isn't used
 * @param restartDelay time for which a newer life of an instance must be known before the units of
 *     the older one are reclaimed
 * @param reclaimDelay time for which an instance must be missing from the list before its units are
 *     reclaimed; longer than every bound above
 * @param balanceInterval interval at which units are moved to where they are used
 * @param balanceThreshold smallest fraction of the rates, lent or borrowed on balance, at which
 *     units are moved
 */
public record LimitBounds(
        Duration loanTtl,
        Duration loanMargin,
        Duration gatherBound,
        Duration gatherPass,
        int fanOut,
        Duration prefetch,
        int maxWaiting,
        Duration minGatherPause,
        Duration readInterval,
        Duration callTimeout,
        Duration retry,
        Duration pauseBound,
        Duration contactBound,
        Duration isolationBound,
        Duration restartDelay,
        Duration reclaimDelay,
        Duration balanceInterval,
        double balanceThreshold) {

    /**
     * Bounds that suit one region.
     *
     * @return the defaults
     */
    public static LimitBounds defaults() {
        return new LimitBounds(
                Duration.ofMillis(1_000),
                Duration.ofMillis(200),
                Duration.ofMillis(100),
                Duration.ofMillis(5),
                8,
                Duration.ofMillis(20),
                4_096,
                Duration.ofMillis(2),
                Duration.ofMillis(2_000),
                Duration.ofMillis(1_000),
                Duration.ofMillis(300),
                Duration.ofMillis(2_000),
                Duration.ofMillis(5_000),
                Duration.ofMillis(10_000),
                Duration.ofMillis(3_000),
                Duration.ofMillis(20_000),
                Duration.ofMillis(5_000),
                0.1);
    }

    /**
     * The longest time for which an entry that others no longer see may use its units or tokens
     * lent from them.
     *
     * @return the sum of the bounds after which it stops, and of a loan's life
     */
    public Duration longestUseAfterContactLoss() {
        Duration stop = max(max(isolationBound, contactBound), pauseBound);
        return stop.plus(callTimeout).plus(loanTtl).plus(loanMargin);
    }

    /**
     * Whether units are reclaimed only after their holder has stopped using them.
     *
     * @return true where the bounds fit
     */
    public boolean isReclaimSafe() {
        return reclaimDelay.compareTo(longestUseAfterContactLoss()) > 0;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
