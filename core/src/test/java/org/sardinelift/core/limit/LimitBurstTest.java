package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinelift.core.catalog.TeamPlan;

/** A team that was quiet gets its whole burst at once, through whichever entry. */
class LimitBurstTest {
    private static final int ROUNDS = 3;
    private static final double HARDLY_ANY_RATE = 1e-6;

    @Property(seed = "81", tries = 60)
    void aWholeBurstThroughOneEntryIsAdmittedAfterQuiet(
            @ForAll @IntRange(min = 2, max = 256) int burst,
            @ForAll @IntRange(min = 2, max = 7) int entries,
            @ForAll long seed) {
        assertBurstsAreAdmitted(burst, entries, seed);
    }

    @Test
    void aBurstOfOneIsAdmittedAfterQuiet() {
        assertBurstsAreAdmitted(1, 2, 0);
    }

    @Property(seed = "82", tries = 60)
    void aBurstOfOneIsAdmittedAfterQuietWithMoreEntries(
            @ForAll @IntRange(min = 1, max = 24) int entries, @ForAll long seed) {
        assertBurstsAreAdmitted(1, entries, seed);
    }

    @Test
    void aBurstOfThousandsIsAdmittedAfterQuiet() {
        assertBurstsAreAdmitted(3_000, 4, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 6})
    void aFreshFleetAdmitsAWholeBurst(int entries) {
        Simulation world = new Simulation(new SplittableRandom(entries));
        TeamPlan team = new TeamPlan("t1", HARDLY_ANY_RATE, 60, Set.of(), Set.of(), 1, 1);
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), Map.of(team.name(), team));
        start(world, fleet, entries);
        world.runUntil(10 * Simulation.SECOND);
        Score score = new Score();
        for (int i = 1; i <= entries; i++) {
            send(world, fleet, team, "e" + i, 60 / entries, score);
        }
        world.runUntil(world.now() + Simulation.SECOND);
        assertEquals(60, score.admissions());
    }

    private static void assertBurstsAreAdmitted(int burst, int entries, long seed) {
        Simulation world = new Simulation(new SplittableRandom(seed));
        TeamPlan team = new TeamPlan("t1", burst / 4.0, burst, Set.of(), Set.of(), 1, 1);
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), Map.of(team.name(), team));
        start(world, fleet, entries);
        world.runUntil(40 * Simulation.SECOND);
        for (int round = 0; round < ROUNDS; round++) {
            assertEquals(burst, admitted(world, fleet, team, burst), "round " + round);
            world.runUntil(world.now() + 20 * Simulation.SECOND);
        }
    }

    private static void start(Simulation world, ShareFleet fleet, int entries) {
        for (int i = 1; i <= entries; i++) {
            world.startListed("e" + i);
            fleet.start("e" + i);
        }
    }

    private static int admitted(Simulation world, ShareFleet fleet, TeamPlan team, int requests) {
        Score score = new Score();
        send(world, fleet, team, "e1", requests, score);
        world.runUntil(world.now() + Simulation.SECOND);
        return score.admissions();
    }

    private static void send(
            Simulation world,
            ShareFleet fleet,
            TeamPlan team,
            String node,
            int requests,
            Score score) {
        for (int i = 0; i < requests; i++) {
            world.scheduleAtNode(
                    world.now(),
                    node,
                    () -> fleet.request(node, team, it -> note(world, team, score, it)));
        }
    }

    private static void note(Simulation world, TeamPlan team, Score score, Admission admission) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(team, world.now());
        }
    }
}
