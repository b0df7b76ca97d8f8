package org.sardinelift.core.outcome;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Retries must not repeat a call that may run only once, start past its deadline or multiply the
 * load.
 */
class RetryPolicyTest {
    private static final RetryPolicy POLICY =
            new RetryPolicy(3, Duration.ofMillis(20), Duration.ofSeconds(1));
    private static final int CALLS = 20_000;

    @Property(seed = "21")
    void aCallThatMayHaveRunIsRepeatedOnlyIfThatDoesNoHarm(
            @ForAll RunOutcome outcome,
            @ForAll FailureCause cause,
            @ForAll boolean isIdempotent,
            @ForAll boolean hasDelivered,
            @ForAll @IntRange(min = 1, max = 5) int attempt) {
        Optional<Duration> pause =
                backoff(outcome, cause, isIdempotent, hasDelivered, attempt, Duration.ofMinutes(1));
        if (outcome != RunOutcome.NOT_RUN && !isIdempotent) {
            assertTrue(pause.isEmpty());
        }
        if (hasDelivered || attempt >= POLICY.maxAttempts()) {
            assertTrue(pause.isEmpty());
        }
    }

    @Property(seed = "22")
    void noRetryStartsPastTheDeadline(@ForAll @IntRange(max = 30) int leftMs) {
        Duration left = Duration.ofMillis(leftMs);
        backoff(RunOutcome.NOT_RUN, FailureCause.QUEUE_FULL, true, false, 1, left)
                .ifPresent(pause -> assertTrue(pause.compareTo(left) < 0));
    }

    /** Half of the targets fail every call; each attempt goes to a random target. */
    @Property(seed = "23", tries = 20)
    void failingTargetsReceiveNoRetryStorm(@ForAll Random random) {
        RetryBudget budget = RetryBudget.of(0.1, 10);
        long attempts = 0;
        for (int call = 0; call < CALLS; call++) {
            budget.onFirstAttempt();
            int number = 1;
            attempts++;
            while (random.nextBoolean()
                    && POLICY.backoff(
                                    failed(RunOutcome.NOT_RUN, FailureCause.TARGET_UNREACHABLE),
                                    number,
                                    true,
                                    false,
                                    Duration.ofMinutes(1),
                                    random.nextDouble(),
                                    budget)
                            .isPresent()) {
                number++;
                attempts++;
            }
        }
        double relativeLoad = (double) attempts / CALLS;
        assertTrue(
                relativeLoad < 1.2, "load on targets " + relativeLoad + " times the offered load");
    }

    @Property(seed = "24")
    void aBudgetNeverGrantsMoreThanItsRatioAndItsBurst(@ForAll Random random) {
        RetryBudget budget = RetryBudget.of(0.2, 5);
        int firstAttempts = 0;
        int retries = 0;
        for (int step = 0; step < 500; step++) {
            if (random.nextBoolean()) {
                budget.onFirstAttempt();
                firstAttempts++;
            } else if (budget.tryAcquire()) {
                retries++;
            }
            assertTrue(retries <= 5 + 0.2 * firstAttempts + 1e-6);
        }
        assertFalse(retries == 0);
    }

    private static Optional<Duration> backoff(
            RunOutcome outcome,
            FailureCause cause,
            boolean isIdempotent,
            boolean hasDelivered,
            int attempt,
            Duration left) {
        return POLICY.backoff(
                failed(outcome, cause),
                attempt,
                isIdempotent,
                hasDelivered,
                left,
                0.5,
                RetryBudget.of(0.1, 10));
    }

    private static AttemptAction.Failed failed(RunOutcome outcome, FailureCause cause) {
        return new AttemptAction.Failed(outcome, cause, "", Duration.ZERO);
    }
}
