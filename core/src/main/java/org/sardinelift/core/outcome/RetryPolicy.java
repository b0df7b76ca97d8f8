package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a failed attempt is followed by another.
 *
 * @param maxAttempts attempts of one call, the first included
 * @param firstBackoff pause before the second attempt
 * @param longestBackoff longest pause
 */
public record RetryPolicy(int maxAttempts, Duration firstBackoff, Duration longestBackoff) {

    /**
     * Decides.
     *
     * @param failed how the attempt ended
     * @param attempt number of the attempt, from 1
     * @param idempotent whether running the call twice does no harm
     * @param delivered whether body bytes were passed to the caller, which a second run could not
     *     continue
     * @param left time left for the whole call
     * @param jitter random number from 0 to 1
     * @param budget the team's budget, drawn on only where all else allows a retry
     * @return the pause before the next attempt, or empty for no retry
     */
    public Optional<Duration> backoff(
            AttemptStep.Failed failed,
            int attempt,
            boolean idempotent,
            boolean delivered,
            Duration left,
            double jitter,
            RetryBudget budget) {
        boolean allowed =
                failed.outcome().mayRetry(idempotent)
                        && worthwhile(failed.cause())
                        && !delivered
                        && attempt < maxAttempts;
        Duration pause = pause(failed, attempt, jitter);
        boolean afforded = allowed && pause.compareTo(left) < 0 && afforded(failed, budget);
        return afforded ? Optional.of(pause) : Optional.empty();
    }

    /** Calls that were on a target when it died run again one by one, which is bound enough. */
    private static boolean afforded(AttemptStep.Failed failed, RetryBudget budget) {
        return failed.cause() == FailureCause.TARGET_DIED || budget.tryAcquire();
    }

    private static boolean worthwhile(FailureCause cause) {
        return switch (cause) {
            case DEADLINE_EXCEEDED, CANCELLED, STALE_FENCE, NONE -> false;
            default -> true;
        };
    }

    private Duration pause(AttemptStep.Failed failed, int attempt, double jitter) {
        long doubled = firstBackoff.toNanos() << Math.min(20, attempt - 1);
        long bounded = Math.min(longestBackoff.toNanos(), doubled);
        Duration backoff = Duration.ofNanos((long) (bounded * (0.5 + jitter / 2)));
        return failed.cause() == FailureCause.QUEUE_FULL
                        && failed.retryAfter().compareTo(backoff) > 0
                ? failed.retryAfter()
                : backoff;
    }
}
