package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Guards against admissions beyond a lowered rate and burst, which happen if entries keep buckets
 * or loans of the previous plan.
 */
class LoweredRateTest {
    private static final int DURATION_SECONDS = 10;
    private static final long REQUEST_INTERVAL = 20 * Simulation.MS;

    @Test
    void loweredRateHoldsOverAllEntries() {
        TeamPlan high = plan(1_000, 1_000);
        TeamPlan low = plan(5, 10);
        Map<String, TeamPlan> plans = new HashMap<>(Map.of("t", high));
        Simulation simulation = new Simulation(new SplittableRandom(4));
        ShareFleet fleet = new ShareFleet(simulation, LimitBounds.defaults(), plans);
        for (String node : new String[] {"e1", "e2"}) {
            simulation.startListed(node);
            fleet.start(node);
        }
        simulation.runUntil(20 * Simulation.SECOND);
        for (String node : new String[] {"e1", "e2"}) {
            fleet.request(node, high, admission -> {});
        }
        simulation.runUntil(21 * Simulation.SECOND);

        plans.put("t", low);
        Score score = new Score();
        long end = simulation.now() + DURATION_SECONDS * Simulation.SECOND;
        for (long at = simulation.now(); at < end; at += REQUEST_INTERVAL) {
            simulation.runUntil(at);
            fleet.request(
                    "e1", low, admission -> recordAdmission(score, admission, low, simulation));
        }
        simulation.runUntil(end + Simulation.SECOND);

        assertTrue(score.overrun() == 0, () -> score.admissions() + " admitted");
    }

    private static void recordAdmission(
            Score score, Admission admission, TeamPlan plan, Simulation simulation) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(plan, simulation.now());
        }
    }

    private static TeamPlan plan(int rate, int burst) {
        return new TeamPlan("t", rate, burst, Set.of(), Set.of(), 1, 1);
    }
}
