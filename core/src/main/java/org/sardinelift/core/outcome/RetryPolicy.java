package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a failed attempt is followed by another.
 *
 * @param maxAttempts maximum number of attempts of one call, including the first
 * @param firstBackoff backoff before the second attempt
 * @param longestBackoff longest backoff
 */
public record RetryPolicy(int maxAttempts, Duration firstBackoff, Duration longestBackoff) {

    /**
     * Decides whether to retry, and after which time.
     *
     * @param failed how the attempt ended
     * @param attempt number of the attempt, from 1
     * @param isIdempotent whether running the call twice does no harm
     * @param hasDelivered whether body bytes were passed to the caller, which a second run could
     *     not continue
     * @param left time left for the whole call
     * @param jitter random number from 0 to 1
     * @param budget the team's budget, used only if everything else allows a retry
     * @return the backoff before the next attempt, or empty for no retry
     */
    public Optional<Duration> backoff(
            AttemptAction.Failed failed,
            int attempt,
            boolean isIdempotent,
            boolean hasDelivered,
            Duration left,
            double jitter,
            RetryBudget budget) {
        boolean isAllowed =
                failed.outcome().mayRetry(isIdempotent)
                        && isRetriable(failed.cause())
                        && !hasDelivered
                        && attempt < maxAttempts;
        Duration pause = pause(failed, attempt, jitter);
        boolean isWithinBudget =
                isAllowed && pause.compareTo(left) < 0 && isWithinBudget(failed, budget);
        return isWithinBudget ? Optional.of(pause) : Optional.empty();
    }

    /**
     * Calls that were on a target when it died are retried one at a time, which limits them without
     * a budget.
     */
    private static boolean isWithinBudget(AttemptAction.Failed failed, RetryBudget budget) {
        return failed.cause() == FailureCause.TARGET_DIED || budget.tryAcquire();
    }

    private static boolean isRetriable(FailureCause cause) {
        return switch (cause) {
            case DEADLINE_EXCEEDED, CANCELLED, STALE_FENCE, NONE -> false;
            default -> true;
        };
    }

    private Duration pause(AttemptAction.Failed failed, int attempt, double jitter) {
        long exponential = firstBackoff.toNanos() << Math.min(20, attempt - 1);
        long bounded = Math.min(longestBackoff.toNanos(), exponential);
        Duration backoff = Duration.ofNanos((long) (bounded * (0.5 + jitter / 2)));
        return failed.cause() == FailureCause.QUEUE_FULL
                        && failed.retryAfter().compareTo(backoff) > 0
                ? failed.retryAfter()
                : backoff;
    }
}
