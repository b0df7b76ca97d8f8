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

/** A batch call that gave its slot to an online call, from the attempt to the item's retry. */
class PreemptedItemTest {
    private final ItemRetryPolicy retry =
            new ItemRetryPolicy(1, 100, Duration.ofMillis(1), Duration.ofMillis(1));

    @ParameterizedTest
    @EnumSource(RunOutcome.class)
    void preemptionCountsAsNoFailureOfTheItem(RunOutcome outcome) {
        AttemptAction.Failed cut =
                new AttemptAction.Failed(
                        outcome,
                        FailureCause.PREEMPTED,
                        "an online call took the slot",
                        Duration.ZERO);
        Problem problem = CallProblems.of(cut, outcome);
        var again =
                assertInstanceOf(
                        ItemRetryPolicy.Decision.Retry.class, retry.decide(problem, true, 1, 1));
        assertEquals(false, again.countsAsAttempt());
    }
}
