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

/**
 * Guards against refusals within the burst of a team that was idle: its tokens are divided between
 * the buckets of all entries, and one entry must be able to gather them all.
 */
class LimitBurstTest {
    private static final int ROUNDS = 3;
    private static final double NEGLIGIBLE_RATE = 1e-6;

    @Property(seed = "81", tries = 60)
    void wholeBurstThroughOneEntryIsAdmittedAfterIdleTime(
            @ForAll @IntRange(min = 2, max = 256) int burst,
            @ForAll @IntRange(min = 2, max = 7) int entries,
            @ForAll long seed) {
        assertBurstsAreAdmitted(burst, entries, seed);
    }

    @Test
    void burstOfOneIsAdmittedAfterIdleTime() {
        assertBurstsAreAdmitted(1, 2, 0);
    }

    @Property(seed = "82", tries = 60)
    void burstOfOneIsAdmittedAfterIdleTimeWithMoreEntries(
            @ForAll @IntRange(min = 1, max = 24) int entries, @ForAll long seed) {
        assertBurstsAreAdmitted(1, entries, seed);
    }

    @Test
    void burstOfThousandsIsAdmittedAfterIdleTime() {
        assertBurstsAreAdmitted(3_000, 4, 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 6})
    void newFleetAdmitsWholeBurst(int entries) {
        Simulation simulation = new Simulation(new SplittableRandom(entries));
        TeamPlan team = new TeamPlan("t1", NEGLIGIBLE_RATE, 60, Set.of(), Set.of(), 1, 1);
        ShareFleet fleet =
                new ShareFleet(simulation, LimitBounds.defaults(), Map.of(team.name(), team));
        start(simulation, fleet, entries);
        simulation.runUntil(10 * Simulation.SECOND);
        Score score = new Score();
        for (int i = 1; i <= entries; i++) {
            send(simulation, fleet, team, "e" + i, 60 / entries, score);
        }
        simulation.runUntil(simulation.now() + Simulation.SECOND);
        assertEquals(60, score.admissions());
    }

    private static void assertBurstsAreAdmitted(int burst, int entries, long seed) {
        Simulation simulation = new Simulation(new SplittableRandom(seed));
        TeamPlan team = new TeamPlan("t1", burst / 4.0, burst, Set.of(), Set.of(), 1, 1);
        ShareFleet fleet =
                new ShareFleet(simulation, LimitBounds.defaults(), Map.of(team.name(), team));
        start(simulation, fleet, entries);
        simulation.runUntil(40 * Simulation.SECOND);
        for (int round = 0; round < ROUNDS; round++) {
            assertEquals(burst, admitted(simulation, fleet, team, burst), "round " + round);
            simulation.runUntil(simulation.now() + 20 * Simulation.SECOND);
        }
    }

    private static void start(Simulation simulation, ShareFleet fleet, int entries) {
        for (int i = 1; i <= entries; i++) {
            simulation.startListed("e" + i);
            fleet.start("e" + i);
        }
    }

    private static int admitted(
            Simulation simulation, ShareFleet fleet, TeamPlan team, int requests) {
        Score score = new Score();
        send(simulation, fleet, team, "e1", requests, score);
        simulation.runUntil(simulation.now() + Simulation.SECOND);
        return score.admissions();
    }

    private static void send(
            Simulation simulation,
            ShareFleet fleet,
            TeamPlan team,
            String node,
            int requests,
            Score score) {
        for (int i = 0; i < requests; i++) {
            simulation.scheduleAtNode(
                    simulation.now(),
                    node,
                    () ->
                            fleet.request(
                                    node,
                                    team,
                                    admission ->
                                            recordAdmission(simulation, team, score, admission)));
        }
    }

    private static void recordAdmission(
            Simulation simulation, TeamPlan team, Score score, Admission admission) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(team, simulation.now());
        }
    }
}
