package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
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
}
