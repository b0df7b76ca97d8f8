package org.sardinelift.core.outcome;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryPolicyTest {
    private static final RetryPolicy POLICY =
            new RetryPolicy(3, Duration.ofMillis(20), Duration.ofSeconds(1));
    private static final int CALLS = 20_000;

    @Property(seed = "21")
    void aCallThatMayHaveRunIsRepeatedOnlyWhereThatDoesNoHarm(
            @ForAll RunOutcome outcome,
            @ForAll FailureCause cause,
            @ForAll boolean idempotent,
            @ForAll boolean delivered,
            @ForAll @IntRange(min = 1, max = 5) int attempt) {
        Optional<Duration> pause =
                backoff(outcome, cause, idempotent, delivered, attempt, Duration.ofMinutes(1));
        if (outcome != RunOutcome.NOT_RUN && !idempotent) {
            assertTrue(pause.isEmpty());
        }
        if (delivered || attempt >= POLICY.maxAttempts()) {
            assertTrue(pause.isEmpty());
        }
    }

    @Property(seed = "22")
    void noRetryStartsPastTheDeadline(@ForAll @IntRange(max = 30) int leftMs) {
        Duration left = Duration.ofMillis(leftMs);
        backoff(RunOutcome.NOT_RUN, FailureCause.QUEUE_FULL, true, false, 1, left)
                .ifPresent(pause -> assertTrue(pause.compareTo(left) < 0));
    }

    /** Half of the targets fail each call; each attempt meets a target at random. */
    @Property(seed = "23", tries = 20)
    void halfOfTheTargetsFailingMeetNoRetryStorm(@ForAll Random random) {
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
        double load = (double) attempts / CALLS;
        assertTrue(load < 1.2, "load on targets " + load + " times the offered load");
    }

    @Property(seed = "24")
    void aBudgetNeverGivesMoreThanItsShareAndItsSavings(@ForAll Random random) {
        RetryBudget budget = RetryBudget.of(0.2, 5);
        int first = 0;
        int retries = 0;
        for (int step = 0; step < 500; step++) {
            if (random.nextBoolean()) {
                budget.onFirstAttempt();
                first++;
            } else if (budget.tryAcquire()) {
                retries++;
            }
            assertTrue(retries <= 5 + 0.2 * first + 1e-6);
        }
        assertFalse(retries == 0);
    }

    private static Optional<Duration> backoff(
            RunOutcome outcome,
            FailureCause cause,
            boolean idempotent,
            boolean delivered,
            int attempt,
            Duration left) {
        return POLICY.backoff(
                failed(outcome, cause),
                attempt,
                idempotent,
                delivered,
                left,
                0.5,
                RetryBudget.of(0.1, 10));
    }

    private static AttemptStep.Failed failed(RunOutcome outcome, FailureCause cause) {
        return new AttemptStep.Failed(outcome, cause, "", Duration.ZERO);
    }
}
