package org.sardinelift.entry.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardinelift.core.batch.ItemRetryPolicy;
import org.sardinelift.core.outcome.AttemptAction;
import org.sardinelift.core.outcome.FailureCause;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.RunOutcome;

/**
 * Guards against batch items that fail because online calls preempt them: a preempted attempt, with
 * whatever outcome, is retried and not counted as an attempt of the item.
 */
class PreemptedItemTest {
    private final ItemRetryPolicy retryPolicy =
            new ItemRetryPolicy(1, 100, Duration.ofMillis(1), Duration.ofMillis(1));

    @ParameterizedTest
    @EnumSource(RunOutcome.class)
    void preemptionIsNotCountedAsAnAttempt(RunOutcome outcome) {
        AttemptAction.Failed preempted =
                new AttemptAction.Failed(
                        outcome,
                        FailureCause.PREEMPTED,
                        "an online call took the slot",
                        Duration.ZERO);
        Problem problem = CallProblems.of(preempted, outcome);
        var decision =
                assertInstanceOf(
                        ItemRetryPolicy.Decision.Retry.class,
                        retryPolicy.decide(problem, true, 1, 1));
        assertEquals(false, decision.countsAsAttempt());
    }
}
