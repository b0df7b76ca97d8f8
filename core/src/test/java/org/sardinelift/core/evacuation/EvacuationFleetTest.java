package org.sardinelift.core.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests to the targets of a zone later than the time within which its evacuation
 * must take effect, whatever is lost, late or away meanwhile.
 */
class EvacuationFleetTest {
    private static final Duration LONGEST_CALM_TIME = Duration.ofMillis(1_500);

    private static void assertNoViolation(EvacuationFleet fleet) {
        assertEquals(List.of(), fleet.violations());
    }

    private static void assertAtMost(Duration bound, Duration actual) {
        assertTrue(actual.compareTo(bound) <= 0, actual + " exceeds " + bound);
    }

    @ParameterizedTest
    @CsvSource({"1,true", "5,true", "40,true", "200,true", "1,false", "5,false", "40,false"})
    void inCalmAllInstancesLearnOfStartAndEndWithinOneAndAHalfSeconds(
            int size, boolean isStoreMoving) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet =
                    EvacuationFleet.calm(size, seed)
                            .setStoreMoving(isStoreMoving)
                            .run(Duration.ofMillis(4_000 + 91 * seed));

            fleet.evacuate("z0");
            assertAtMost(LONGEST_CALM_TIME, fleet.runUntil(each -> each.isRunningEverywhere("z0")));
            fleet.run(Duration.ofSeconds(6)).endEvacuation("z0");
            assertAtMost(LONGEST_CALM_TIME, fleet.runUntil(each -> each.isRunningNowhere("z0")));
            assertNoViolation(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void oneInstanceOfEachZoneListsInCalm(int size) {
        EvacuationFleet fleet = EvacuationFleet.calm(size, 1).run(Duration.ofSeconds(5));
        long before = fleet.listCalls();

        fleet.run(Duration.ofSeconds(10));

        // Each of three zones lists about once a second.
        long listing = Math.min(3, size);
        assertTrue(fleet.listCalls() - before <= listing * 12, fleet.listCalls() + " lists");
        assertTrue(fleet.listCalls() - before >= listing * 9, fleet.listCalls() + " lists");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void readersThatAreKilledAsTheEvacuationStartsDelayItWithinTheBound(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet =
                    EvacuationFleet.lossy(size, seed).run(Duration.ofMillis(4_000 + 91 * seed));

            fleet.kill(fleet::isFirstOfZone).evacuate("z1").run(Duration.ofSeconds(9));

            assertNoViolation(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void readersThatLoseTheStoreAsTheEvacuationStartsDelayItWithinTheBound(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet =
                    EvacuationFleet.lossy(size, seed).run(Duration.ofMillis(4_000 + 91 * seed));

            fleet.cutFromStore(fleet::isFirstOfZone, true)
                    .evacuate("z1")
                    .run(Duration.ofSeconds(9))
                    .endEvacuation("z1");

            if (size > 3) {
                assertAtMost(
                        EvacuationFleet.APPLY_TIME,
                        fleet.runUntil(each -> each.isRunningNowhere("z1")));
            }
            assertNoViolation(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 40, 200})
    void oneInstanceWithTheStoreSuppliesAllOthers(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet =
                    EvacuationFleet.lossy(size, seed).run(Duration.ofMillis(4_000 + 91 * seed));
            EvacuationFleet.Instance last = fleet.instances().get(size - 1);

            fleet.cutFromStore(each -> each != last, true)
                    .evacuate("z0")
                    .run(Duration.ofSeconds(10))
                    .endEvacuation("z0");

            assertAtMost(
                    EvacuationFleet.APPLY_TIME,
                    fleet.runUntil(each -> each.isRunningNowhere("z0")));
            assertNoViolation(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void whatIsKnownStaysWhileTheStoreIsAwayForAll(int size) {
        EvacuationFleet fleet = EvacuationFleet.lossy(size, 3).run(Duration.ofSeconds(4));
        fleet.evacuate("z2").run(Duration.ofSeconds(5));

        fleet.cutFromStore(each -> true, true).run(Duration.ofSeconds(20));

        assertTrue(fleet.isRunningEverywhere("z2"));
        fleet.endEvacuation("z2").run(Duration.ofSeconds(5));
        assertTrue(fleet.isRunningEverywhere("z2"));
        fleet.cutFromStore(each -> true, false);
        assertAtMost(
                EvacuationFleet.APPLY_TIME, fleet.runUntil(each -> each.isRunningNowhere("z2")));
        assertNoViolation(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void whatStartsWhileTheStoreIsAwayAppliesOnceItIsBack(int size) {
        EvacuationFleet fleet = EvacuationFleet.lossy(size, 4).run(Duration.ofSeconds(4));

        fleet.cutFromStore(each -> true, true)
                .evacuate("z2")
                .run(Duration.ofSeconds(8))
                .cutFromStore(each -> true, false);

        assertAtMost(
                EvacuationFleet.APPLY_TIME, fleet.runUntil(each -> each.isRunningEverywhere("z2")));
        assertNoViolation(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void instancesThatRestartDuringAnEvacuationSendNothingToTheZone(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet = EvacuationFleet.lossy(size, seed).run(Duration.ofSeconds(4));
            int part = seed % 4 + 1;

            fleet.evacuate("z1")
                    .run(Duration.ofSeconds(6))
                    .restart(each -> each.hashCode() % part == 0)
                    .run(Duration.ofSeconds(7));

            assertNoViolation(fleet);
            assertTrue(fleet.isRunningEverywhere("z1"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 40, 200})
    void anInstanceThatRestartsWithoutTheStoreLearnsOfTheEvacuationFromPeers(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet = EvacuationFleet.lossy(size, seed).run(Duration.ofSeconds(4));
            EvacuationFleet.Instance first = fleet.instances().get(0);

            fleet.evacuate("z1")
                    .run(Duration.ofSeconds(6))
                    .cutFromStore(each -> each == first, true)
                    .restart(each -> each == first)
                    .run(Duration.ofSeconds(7));

            assertNoViolation(fleet);
            assertTrue(first.isEvacuated("z1"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 40, 200})
    void anotherZoneIsLostDuringAnEvacuation(int size) {
        for (int seed = 0; seed < (size > 100 ? 1 : 10); seed++) {
            EvacuationFleet fleet = EvacuationFleet.lossy(size, seed).run(Duration.ofSeconds(4));

            fleet.evacuate("z1")
                    .run(Duration.ofMillis(300 + 97 * seed))
                    .kill(each -> each.zone().equals("z0"))
                    .run(Duration.ofSeconds(8))
                    .endEvacuation("z1");

            assertAtMost(
                    EvacuationFleet.APPLY_TIME,
                    fleet.runUntil(each -> each.isRunningNowhere("z1")));
            assertNoViolation(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void allZonesAndUnknownZonesAreEvacuated(int size) {
        EvacuationFleet fleet = EvacuationFleet.lossy(size, 9).run(Duration.ofSeconds(4));

        fleet.evacuate("elsewhere").run(Duration.ofSeconds(5));
        fleet.instances()
                .forEach(each -> assertEquals(Set.of("z0", "z1", "z2"), fleet.zonesInUse(each)));
        fleet.evacuate("z0", "z1", "z2").run(Duration.ofSeconds(9));

        fleet.instances().forEach(each -> assertEquals(Set.of(), fleet.zonesInUse(each)));
        assertNoViolation(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40})
    void anInstanceCutOffFromStoreAndPeersKeepsWhatItKnows(int size) {
        EvacuationFleet fleet = EvacuationFleet.lossy(size, 11).run(Duration.ofSeconds(4));
        EvacuationFleet.Instance first = fleet.instances().get(0);
        fleet.evacuate("z1").run(Duration.ofSeconds(5));

        fleet.cutFromStore(each -> each == first, true)
                .cutFromPeers(each -> each == first, true)
                .endEvacuation("z1")
                .run(Duration.ofSeconds(20));

        assertTrue(first.isEvacuated("z1"));
        fleet.cutFromPeers(each -> each == first, false).cutFromStore(each -> each == first, false);
        assertAtMost(
                EvacuationFleet.APPLY_TIME, fleet.runUntil(each -> each.isRunningNowhere("z1")));
    }

    @ParameterizedTest
    @CsvSource({"1,60", "5,60", "40,10", "200,1"})
    void noRequestIsLateInRandomHistories(int size, int seeds) {
        for (int seed = 0; seed < seeds; seed++) {
            Random random = new Random(seed);
            EvacuationFleet fleet = EvacuationFleet.lossy(size, seed).run(Duration.ofSeconds(3));
            for (int step = 0; step < (size > 100 ? 8 : 25); step++) {
                randomStep(fleet, random);
                fleet.run(Duration.ofMillis(random.nextInt(3_000)));
            }
            fleet.cutFromStore(each -> true, false).cutFromPeers(each -> true, false);
            fleet.run(Duration.ofSeconds(6));
            int last = seed;
            assertEquals(List.of(), fleet.violations(), () -> "seed " + last);
        }
    }

    private static void randomStep(EvacuationFleet fleet, Random random) {
        String zone = "z" + random.nextInt(3);
        double part = random.nextDouble();
        switch (random.nextInt(8)) {
            case 0, 1 -> fleet.evacuate(zone);
            case 2 -> fleet.endEvacuation(zone);
            case 3 -> fleet.cutFromStore(each -> random.nextDouble() < part, true);
            case 4 -> fleet.cutFromStore(each -> random.nextBoolean(), false);
            case 5 -> fleet.restart(each -> random.nextDouble() < part / 2);
            case 6 -> fleet.cutFromPeers(each -> random.nextDouble() < part / 4, true);
            default -> fleet.cutFromPeers(each -> true, false);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 40, 200})
    void onlyReadersAndFullReportsCarryTheListInCalm(int size) {
        EvacuationFleet fleet = EvacuationFleet.calm(size, 1).run(Duration.ofSeconds(10));

        // Three readers, and each of the others in a full report of eight to all zones.
        double bound = 3.0 / size + 1.0 / 8 + 0.05;
        assertTrue(fleet.shareOfReportsWithList() <= bound, fleet.shareOfReportsWithList() + "");
    }
}
