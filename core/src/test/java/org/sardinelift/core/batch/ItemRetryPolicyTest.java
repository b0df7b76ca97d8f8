package org.sardinelift.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;

class ItemRetryPolicyTest {
    private final ItemRetryPolicy retryPolicy =
            new ItemRetryPolicy(3, 5, Duration.ofMillis(100), Duration.ofSeconds(1));

    @Property(tries = 500, seed = "5")
    void everyItemEndsAndUnrepeatableCallRunsAtMostOnce(
            @ForAll ProblemKind kind, @ForAll RunOutcome outcome, @ForAll boolean idempotent) {
        Problem problem = Problem.failed(kind, outcome, "x");
        int attempts = 0;
        int postponements = 0;
        int calls = 1;
        while (retryPolicy.decide(problem, idempotent, attempts + 1, postponements + 1)
                instanceof ItemRetryPolicy.Decision.Retry retry) {
            attempts += retry.countsAsAttempt() ? 1 : 0;
            postponements += retry.countsAsAttempt() ? 0 : 1;
            assertTrue(retry.pause().compareTo(Duration.ofSeconds(1)) <= 0);
            calls++;
        }
        assertTrue(calls <= 5, "more than 5 calls");
        if (!idempotent && outcome != RunOutcome.NOT_RUN) {
            assertEquals(1, calls);
        }
    }

    @Test
    void unrepeatableCallWithUnknownOutcomeIsNotRepeated() {
        Problem problem =
                Problem.failed(ProblemKind.TARGET_FAILED, RunOutcome.UNKNOWN, "the target died");
        var failure =
                assertInstanceOf(
                        ItemRetryPolicy.Decision.Fail.class,
                        retryPolicy.decide(problem, false, 1, 1));
        assertEquals(ProblemKind.OUTCOME_UNKNOWN, failure.problem().kind());
        assertTrue(failure.problem().detail().contains("not repeated"));
    }

    @Property(tries = 300, seed = "6")
    void chunksKeepItemOrderAndBounds(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 1, max = 90) Integer> items) {
        ChunkPacker packer = new ChunkPacker(10, 3, 100);
        List<List<Integer>> chunks = packer.pack(items, item -> item, item -> item % 5 != 0);
        assertEquals(items, chunks.stream().flatMap(List::stream).toList());
        chunks.forEach(
                chunk -> {
                    boolean areAllRepeatable = chunk.stream().allMatch(item -> item % 5 != 0);
                    assertTrue(!chunk.isEmpty() && chunk.size() <= 10);
                    assertTrue(chunk.stream().mapToInt(item -> item).sum() <= 100);
                    assertTrue(
                            areAllRepeatable
                                    || chunk.stream().filter(item -> item % 5 == 0).count() <= 3);
                });
    }
}
