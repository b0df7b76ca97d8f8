package org.sardinelift.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class JobStateTest {
    private static final int CHUNKS = 4;
    private static final int CHUNK_ITEMS = 10;
    private static final Holder FIRST = new Holder("e1", "a");
    private static final Holder SECOND = new Holder("e2", "b");

    private static JobState accepted() {
        return JobState.initial("compliance", CHUNKS * CHUNK_ITEMS, CHUNKS);
    }

    private static ChunkResult result(String writeId) {
        return new ChunkResult(writeId, 1, CHUNK_ITEMS - 1, 1, 0);
    }

    private static JobState apply(JobState state, int step) {
        int chunk = step / 8 % CHUNKS;
        long fence = step / 32 % 5;
        return switch (step % 8) {
            case 0 -> state.claim(FIRST);
            case 1 -> state.claim(SECOND);
            case 2, 3 -> state.commit(fence, Map.of(chunk, result(fence + "-" + step)));
            case 4 -> state.recordIntent(fence, chunk);
            case 5 -> step % 3 == 0 ? state.requestCancel() : state;
            case 6 -> state.finishCancel(fence);
            default -> state.release(fence);
        };
    }

    @Property(tries = 2_000, seed = "7")
    void countsAddUpAndResultsAndEndAreFinal(
            @ForAll @Size(max = 60) List<@IntRange(max = 1_000) Integer> steps) {
        JobState state = accepted();
        for (int step : steps) {
            JobState next = apply(state, step);
            JobCounts counts = next.counts();
            assertEquals(
                    counts.accepted(),
                    counts.completed() + counts.failed() + counts.cancelled() + counts.open());
            assertTrue(counts.open() >= 0);
            assertTrue(next.fence() >= state.fence());
            assertTrue(next.chunks().entrySet().containsAll(state.chunks().entrySet()));
            if (state.phase().isTerminal()) {
                assertEquals(state, next);
            }
            if (next.phase().isTerminal()) {
                assertEquals(0, counts.open());
            }
            state = next;
        }
    }

    @Test
    void invalidFenceChangesNothing() {
        JobState second = accepted().claim(FIRST).claim(SECOND);
        assertEquals(second, second.commit(1, Map.of(0, result("late"))));
        assertEquals(second, second.recordIntent(1, 0));
        assertEquals(second, second.release(1));
        JobState cancelling = second.requestCancel();
        assertEquals(cancelling, cancelling.finishCancel(1));
    }

    @Test
    void intentOfAFormerHolderMeansThatCallsMayHaveRun() {
        JobState first = accepted().claim(FIRST).recordIntent(1, 2);
        assertFalse(first.mayHaveRun(2));
        JobState second = first.claim(SECOND);
        assertTrue(second.mayHaveRun(2));
        assertFalse(second.mayHaveRun(1));
        assertTrue(second.recordIntent(2, 2).mayHaveRun(2));
        assertFalse(second.commit(2, Map.of(2, result("x"))).intents().containsKey(2));
    }

    @Test
    void firstOfCancelAndCompletionWins() {
        JobState running = accepted().claim(FIRST);
        Map<Integer, ChunkResult> all =
                Map.of(0, result("a"), 1, result("b"), 2, result("c"), 3, result("d"));
        JobState completed = running.commit(1, all);
        assertEquals(JobPhase.COMPLETED, completed.phase());
        assertEquals(completed, completed.requestCancel());
        JobState cancelling = running.requestCancel().commit(1, Map.of(0, result("a")));
        JobState cancelled = cancelling.finishCancel(1);
        assertEquals(JobPhase.CANCELLED, cancelled.phase());
        assertEquals(cancelled, cancelled.commit(1, all));
        assertEquals(30, cancelled.counts().cancelled());
    }
}
