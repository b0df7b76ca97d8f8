package org.sardinelift.core.memory;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A target crashes if instances that don't yet know of each other's requests fill it together, and
 * large requests starve if small ones take all room.
 */
class TargetMemoryFleetTest {
    private static final ToLongFunction<Random> UP_TO_HALF =
            random -> 1 + (long) (random.nextDouble() * MemoryFleet.MEMORY / 2);
    private static final ToLongFunction<Random> MOSTLY_SMALL =
            random ->
                    random.nextDouble() < 0.85
                            ? 1 + random.nextInt(1_000)
                            : UP_TO_HALF.applyAsLong(random);
    private static final ToLongFunction<Random> USUAL = random -> 1 + random.nextInt(1_000);

    @ParameterizedTest
    @CsvSource({"1, 4", "5, 20", "5, 5", "40, 160", "40, 10", "200, 800"})
    void noTargetHoldsMoreThanItsMemory(int instances, int targets) {
        for (long seed = 1; seed <= (instances >= 40 ? 1 : 3); seed++) {
            for (ToLongFunction<Random> sizes : List.of(UP_TO_HALF, MOSTLY_SMALL)) {
                MemoryFleet fleet =
                        new MemoryFleet(instances, targets, 14.0 * targets, 0.3, sizes, seed);
                fleet.run(1.5, 0);
                fleet.run(instances > 40 ? 1 : 8, instances / 10.0);
                assertTrue(
                        fleet.highest() <= MemoryFleet.MEMORY,
                        "seed " + seed + ", highest " + fleet.highest());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void theLargestTenthIsAdmittedAtLeastHalfAsOftenAsAll(int instances) {
        int targets = 4 * instances;
        for (double callsPerSecond : new double[] {3, 6, 14}) {
            MemoryFleet fleet =
                    new MemoryFleet(
                            instances, targets, callsPerSecond * targets, 0.05, UP_TO_HALF, 7);
            fleet.run(1.5, 0);
            fleet.forgetDecisions();
            fleet.run(instances > 40 ? 1 : 15, 0);
            assertTrue(
                    fleet.ratioOfLargestTenth() >= 0.5,
                    callsPerSecond + "/s, ratio " + fleet.ratioOfLargestTenth());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40})
    void usualRequestsAreNeverRefusedForMemory(int instances) {
        MemoryFleet fleet =
                new MemoryFleet(instances, 4 * instances, 5.0 * 4 * instances, 0.05, USUAL, 3);
        fleet.run(20, 0);
        assertTrue(fleet.admitted() >= 0.999, "admitted " + fleet.admitted());
    }

    /** Some instances own no target then, and refuse large requests. */
    @Test
    @Tag("known-red")
    void theLargestTenthIsNotStarvedWithFewerTargetsThanInstances() {
        assertLargestTenthOfMixAdmitted(40, 10);
    }

    /** Small requests are not held back for large ones. */
    @Test
    @Tag("known-red")
    void theLargestTenthIsNotStarvedAmongMostlySmallRequests() {
        assertLargestTenthOfMixAdmitted(5, 20);
    }

    private static void assertLargestTenthOfMixAdmitted(int instances, int targets) {
        MemoryFleet fleet =
                new MemoryFleet(instances, targets, 14.0 * targets, 0.05, MOSTLY_SMALL, 3);
        fleet.run(1.5, 0);
        fleet.forgetDecisions();
        fleet.run(10, 0);
        assertTrue(fleet.ratioOfLargestTenth() >= 0.5, "ratio " + fleet.ratioOfLargestTenth());
    }
}
