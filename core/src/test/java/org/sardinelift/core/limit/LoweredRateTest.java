package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

/** A rate and burst that were lowered hold over all entries from then on. */
class LoweredRateTest {
    private static final int SECONDS = 10;
    private static final long GAP = 20 * Simulation.MS;

    @Test
    void aLoweredRateHoldsOverAllEntries() {
        TeamPlan high = plan(1_000, 1_000);
        TeamPlan low = plan(5, 10);
        Map<String, TeamPlan> plans = new HashMap<>(Map.of("t", high));
        Simulation world = new Simulation(new SplittableRandom(4));
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), plans);
        for (String node : new String[] {"e1", "e2"}) {
            world.startListed(node);
            fleet.start(node);
        }
        world.runUntil(20 * Simulation.SECOND);
        for (String node : new String[] {"e1", "e2"}) {
            fleet.request(node, high, admission -> {});
        }
        world.runUntil(21 * Simulation.SECOND);

        plans.put("t", low);
        Score score = new Score();
        long end = world.now() + SECONDS * Simulation.SECOND;
        for (long at = world.now(); at < end; at += GAP) {
            world.runUntil(at);
            fleet.request("e1", low, admission -> note(score, admission, low, world));
        }
        world.runUntil(end + Simulation.SECOND);

        assertTrue(score.overrun() == 0, () -> score.admissions() + " admitted");
    }

    private static void note(Score score, Admission admission, TeamPlan plan, Simulation world) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(plan, world.now());
        }
    }

    private static TeamPlan plan(int rate, int burst) {
        return new TeamPlan("t", rate, burst, Set.of(), Set.of(), 1, 1);
    }
}
