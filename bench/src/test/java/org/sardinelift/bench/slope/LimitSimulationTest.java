package org.sardinelift.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.limit.Shares;

/** The simulated entries must divide the shares and answer each request exactly once. */
final class LimitSimulationTest {
    private static final TeamPlan TEAM = new TeamPlan("small", 10, 10, Set.of(), Set.of(), 1, 1);

    @Test
    void everyEntryHasAShareOnceSettled() {
        Shares shares = LimitSimulation.startSettled(6, TEAM).shares();
        assertEquals(6, shares.members().size());
        assertTrue(shares.members().values().stream().allMatch(member -> member.units() > 0));
    }

    @Test
    void answersEachRequestOnce() {
        LimitSimulation simulation = LimitSimulation.startSettled(2, TEAM);
        for (int request = 0; request < 30; request++) {
            simulation.sendRequest(request % 2);
            simulation.runSteps(1);
        }
        simulation.runSteps(1_000);
        assertEquals(30, simulation.admitted() + simulation.refused());
        assertTrue(simulation.admitted() >= 10 && simulation.refused() > 0);
    }
}
