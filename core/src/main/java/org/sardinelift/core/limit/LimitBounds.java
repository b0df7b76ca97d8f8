package org.sardinelift.core.limit;

import java.time.Duration;

/**
 * Intervals and bounds of the fleet-wide limits.
 *
 * @param loanTtl time for which borrowed tokens may be spent, counted from the sending of the
 *     request
 * @param loanMargin time beyond {@code loanTtl} after which the lender treats a loan as expired
 * @param gatherBound longest time for which a request waits for loans
 * @param gatherPass time to wait for the answers of one round, and pause before peers that had
 *     nothing are asked once more
 * @param fanOut number of peers that are asked at once
 * @param prefetch time for which tokens at the team's rate are borrowed beyond the need
 * @param maxWaiting maximum number of requests of one team that wait for loans
 * @param minGatherPause shortest pause after an unsuccessful gathering of loans for one team
 * @param readInterval interval of reading the shares
 * @param callTimeout longest time for which an answer of the platform is accepted
 * @param retry pause after a failed call
 * @param pauseBound time without a tick after which the share must be confirmed again
 * @param contactBound time without contact with the platform, while a peer has it, after which the
 *     share isn't used
 * @param isolationBound time without contact with the platform and all peers after which the share
 *     isn't used
 * @param restartDelay time for which a newer incarnation of an instance must be known before the
 *     units of the older one are reclaimed
 * @param reclaimDelay time for which an instance must be missing from the list before its units are
 *     reclaimed; longer than every bound above
 * @param balanceInterval interval at which units are moved to the entries that use them
 * @param balanceThreshold smallest net amount lent or borrowed, as a fraction of the rates, at
 *     which units are moved
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
     * Returns the defaults, which suit entries within one region.
     *
     * @return default bounds
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
     * Returns the longest time for which an entry that lost contact with others may use its units,
     * or others may use tokens that it lent.
     *
     * @return the longest bound after which the entry stops, plus the call timeout and the lifetime
     *     of a loan
     */
    public Duration longestUseAfterContactLoss() {
        Duration untilStopped = max(max(isolationBound, contactBound), pauseBound);
        return untilStopped.plus(callTimeout).plus(loanTtl).plus(loanMargin);
    }

    /**
     * Whether units are reclaimed only after their owner has stopped using them.
     *
     * @return true if the bounds ensure it
     */
    public boolean isReclaimSafe() {
        return reclaimDelay.compareTo(longestUseAfterContactLoss()) > 0;
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }
}
