package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against workers that all start an item on a cold target at the same moment. */
class ColdItemTurnTest {
    private static final long TURN_NANOS = 50_000_000L;

    private static long workersAt(int workers, long turn) {
        return IntStream.range(0, workers)
                .filter(
                        i ->
                                RateLimitedTargetSample.includesColdItem(
                                        "i-1", "w" + i, workers, turn * TURN_NANOS))
                .count();
    }

    @ParameterizedTest(name = "{0} workers")
    @ValueSource(ints = {5, 40, 200, 500})
    void oneWorkerAtATimeOnAverageAndNeverMany(int workers) {
        double mean =
                LongStream.range(0, 2_000)
                        .map(turn -> workersAt(workers, turn))
                        .average()
                        .orElse(0);
        long most =
                LongStream.range(0, 2_000).map(turn -> workersAt(workers, turn)).max().orElse(0);

        assertEquals(1, mean, 0.15);
        // The bound of a cold target at 10 per second leaves 10 beyond the rate.
        assertTrue(most <= 10, most + " workers at once");
    }

    @ParameterizedTest(name = "turn {0}")
    @ValueSource(longs = {0, 1, 2, 3})
    void aWorkerWithoutOthersAlwaysHasItsTurn(long turn) {
        assertEquals(1, workersAt(1, turn));
    }
}
