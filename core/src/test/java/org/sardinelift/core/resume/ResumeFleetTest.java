package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that go on at another software version, in fleets of many sizes. */
class ResumeFleetTest {
    private static final int STREAMS_PER_SECOND = 60;

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    /** Releases, a roll-back and a third version, until 60 s. */
    private static void scheduleReleases(ResumeFleet fleet) {
        List<String> names = List.of("v2", "v1", "v3", "v2");
        String before = "v1";
        for (int i = 0; i < names.size(); i++) {
            String from = before;
            String to = names.get(i);
            double start = 4 + 14 * i;
            for (int step = 1; step <= 3; step++) {
                int done = step;
                fleet.at(seconds(start + 2 * step), () -> fleet.setTargets(to, done));
                fleet.at(seconds(start + 2 * step + 1), () -> fleet.setTargets(from, 3 - done));
            }
            before = to;
        }
    }

    private static ResumeFleet releases(long seed, int instances, double messageLoss) {
        ResumeFleet fleet = new ResumeFleet(seed, instances, messageLoss);
        fleet.at(seconds(2), () -> fleet.startTraffic(STREAMS_PER_SECOND));
        scheduleReleases(fleet);
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 24, 200})
    void inReleasesStreamsAreResumedAtTheVersionThatBeganThem(int instances) {
        for (int seed = 1; seed <= 5; seed++) {
            ResumeFleet fleet = releases(seed, instances, 0);
            fleet.runUntil(seconds(64));

            assertEquals(0, fleet.mixed(), "seed " + seed);
            assertTrue(fleet.takenUpCalmly() > 200, "" + fleet.takenUpCalmly());
            assertTrue(fleet.shareThatGoesOn() > 0.98, "share " + fleet.shareThatGoesOn());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 24, 200})
    void mostStreamsOfAnInstanceThatIsKilledGoOn(int instances) {
        for (int seed = 1; seed <= 5; seed++) {
            ResumeFleet fleet = releases(seed, instances, 0.01);
            for (double at = 5; at < 60; at += 1.5) {
                fleet.at(seconds(at), fleet::killOne);
            }
            fleet.runUntil(seconds(64));

            assertEquals(0, fleet.mixed(), "seed " + seed);
            assertTrue(fleet.shareThatGoesOn() > 0.9, "share " + fleet.shareThatGoesOn());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 24, 200})
    void faultsOfAllKindsJoinNoTwoVersions(int instances) {
        for (int seed = 1; seed <= 12; seed++) {
            ResumeFleet fleet = releases(seed, instances, 0.05);
            for (int i = 0; i < 16; i++) {
                double at = 3 + 58 * fleet.random().nextDouble();
                double length = 0.5 + 6 * fleet.random().nextDouble();
                switch (i % 4) {
                    case 0 -> fleet.at(seconds(at), () -> fleet.kill(0.5));
                    case 1 -> fleet.at(seconds(at), () -> fleet.kill(1));
                    case 2 -> fleet.at(seconds(at), () -> fleet.cutOff(0.3, seconds(length)));
                    default -> {
                        fleet.at(seconds(at), () -> fleet.setStoreDown(true));
                        fleet.at(seconds(at + length), () -> fleet.setStoreDown(false));
                    }
                }
            }
            fleet.runUntil(seconds(66));

            assertEquals(0, fleet.mixed(), "seed " + seed);
        }
    }

    @Test
    void aMinuteAfterAReleaseNothingIsAnnouncedOrAskedAnyMore() {
        ResumeFleet fleet = releases(1, 24, 0.01);
        fleet.at(seconds(70), fleet::killOne);
        fleet.runUntil(seconds(160));
        int messages = fleet.messages();
        fleet.runUntil(seconds(170));

        assertTrue(messages > 0);
        assertEquals(messages, fleet.messages());
    }

    @Test
    void withOneVersionNothingIsAnnouncedOrAskedAndAllStreamsGoOn() {
        ResumeFleet fleet = new ResumeFleet(1, 24, 0.05);
        fleet.at(seconds(2), () -> fleet.startTraffic(STREAMS_PER_SECOND));
        fleet.at(seconds(10), () -> fleet.kill(1));
        fleet.at(seconds(20), () -> fleet.kill(0.5));
        fleet.runUntil(seconds(40));

        assertEquals(0, fleet.messages());
        assertEquals(1.0, fleet.shareThatGoesOn());
    }

    /**
     * Guards against the fault of the operator's report: the record of versions is not written yet
     * when all gateways are killed, and its absence is taken for proof.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void afterTheLossOfAllGatewaysNoTwoVersionsAreJoined(int gateways) {
        for (int seed = 1; seed <= 6; seed++) {
            for (int withWorkers = 0; withWorkers < 2; withWorkers++) {
                assertEquals(
                        0,
                        lossOfAllGateways(seed, gateways, withWorkers == 1).mixed(),
                        "seed " + seed + ", workers killed " + withWorkers);
            }
        }
    }

    /** The second version appears, the first one leaves, and all gateways are killed at once. */
    private static ResumeFleet lossOfAllGateways(long seed, int gateways, boolean withWorkers) {
        ResumeFleet fleet = new ResumeFleet(seed, gateways, (gateways + 3) / 4, 0.02);
        Random draws = new Random(seed);
        fleet.setMaxClockOffset(seconds(2));
        Runnable startFaults = () -> fleet.setWriteFaults(seed % 2 == 0 ? 1 : 0.5, seed % 3 / 2.0);
        // Either the first version is recorded, or not even that.
        fleet.at(seconds(seed <= 3 ? 0 : 3), startFaults);
        fleet.at(seconds(1), () -> fleet.startTraffic(5 * STREAMS_PER_SECOND));
        String[] names = {"v1", "v2", "v3", "v1"};
        for (int i = 1; i < names.length; i++) {
            String from = names[i - 1];
            String to = names[i];
            double start = 8 * i;
            double leaves = start + 1.6 + 3 * draws.nextDouble();
            double storeDownAt = start - 1 + 3 * draws.nextDouble();
            fleet.at(seconds(start), () -> fleet.setTargets(to, 3));
            fleet.at(seconds(start + 1), fleet::jumpClocks);
            if (draws.nextBoolean()) {
                fleet.at(seconds(storeDownAt), () -> fleet.setStoreDown(true));
                fleet.at(seconds(storeDownAt + 3), () -> fleet.setStoreDown(false));
            }
            fleet.at(seconds(leaves), () -> fleet.setTargets(from, 0));
            fleet.at(
                    seconds(leaves + 0.6 * draws.nextDouble()),
                    () -> fleet.killAllGateways(withWorkers));
        }
        fleet.runUntil(seconds(40));
        return fleet;
    }

    /**
     * Two versions serve side by side, and all gateways are killed, without or with the workers.
     */
    private static ResumeFleet lossWithTwoVersions(
            long seed, int gateways, boolean withWorkers, boolean hasSecondVersion) {
        ResumeFleet fleet = new ResumeFleet(seed, gateways, (gateways + 3) / 4, 0.02);
        fleet.setMaxClockOffset(seconds(2));
        fleet.at(seconds(1), () -> fleet.startTraffic(5 * STREAMS_PER_SECOND));
        if (hasSecondVersion) {
            fleet.at(seconds(3), () -> fleet.setTargets("v2", 3));
        }
        fleet.at(
                seconds(10),
                () -> {
                    fleet.countNewStreamsFromNow();
                    fleet.killAllGateways(withWorkers);
                });
        fleet.runUntil(seconds(30));
        return fleet;
    }

    /** Guards against streams that are refused since only gateways kept where they begin. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void afterTheLossOfAllGatewaysAsManyStreamsGoOnAsNewOnesBegin(int gateways) {
        int broken = 0;
        double brokenGoOn = 0;
        double newBegin = 0;
        int seeds = 8;
        for (int seed = 1; seed <= seeds; seed++) {
            ResumeFleet fleet = lossWithTwoVersions(seed, gateways, false, true);
            assertEquals(0, fleet.mixed(), "seed " + seed);
            broken += fleet.broken();
            brokenGoOn += fleet.broken() * fleet.brokenShareThatGoesOn();
            newBegin += fleet.newShareThatBegins() / seeds;
        }
        String figures =
                "%d gateways: %d broken, %.4f go on, %.4f of the new ones begin"
                        .formatted(gateways, broken, brokenGoOn / broken, newBegin);
        System.out.println(figures);
        assertTrue(broken > 100, figures);
        assertTrue(brokenGoOn / broken >= newBegin, figures);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void afterTheLossOfAllProcessesNoStreamIsJoinedAndThoseOfOneVersionGoOn(int gateways) {
        for (int seed = 1; seed <= 4; seed++) {
            ResumeFleet two = lossWithTwoVersions(seed, gateways, true, true);
            assertEquals(0, two.mixed(), "seed " + seed);

            ResumeFleet one = lossWithTwoVersions(seed, gateways, true, false);
            assertEquals(0, one.mixed(), "seed " + seed);
            assertTrue(one.broken() > 0);
            assertEquals(1.0, one.brokenShareThatGoesOn(), "seed " + seed);
            assertEquals(0, one.messages());
        }
    }

    /** Guards against messages and store calls that a service with one version doesn't need. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40, 200})
    void withOneVersionTheRecordIsWrittenOnceAndReadTwiceByEachInstance(int gateways) {
        ResumeFleet fleet = new ResumeFleet(1, gateways, (gateways + 3) / 4, 0.05);
        fleet.at(seconds(2), () -> fleet.startTraffic(STREAMS_PER_SECOND));
        fleet.runUntil(seconds(100));
        int instances = gateways + (gateways + 3) / 4;
        String figures =
                "%d instances: %d writes of %d tried, %d reads"
                        .formatted(
                                instances,
                                fleet.stateWrites(),
                                fleet.stateWriteTries(),
                                fleet.stateReads());
        System.out.println(figures);
        assertEquals(0, fleet.messages());
        assertEquals(1, fleet.stateWrites(), figures);
        assertTrue(fleet.stateWriteTries() <= 1 + instances / 10 + 2, figures);
        assertTrue(fleet.stateReads() <= 3 * instances, figures);
    }
}
