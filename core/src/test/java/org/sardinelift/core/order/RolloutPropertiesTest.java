package org.sardinelift.core.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RolloutPropertiesTest {
    private static final long HOUR_MS = 3_600_000;

    /**
     * Guards against roll-outs that never end or leave targets with mixed versions when controllers
     * pause, restart or lose their connection and targets fail or hang. The simulation also asserts
     * at every step that enough targets serve and that each order has the newest fence on the
     * platform.
     */
    @Property(seed = "8061", tries = 300)
    void everyRolloutEndsWithAllOrNoTargetsChanged(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 8) int targets,
            @ForAll @IntRange(min = 1, max = 3) int controllers,
            @ForAll @IntRange(min = 0, max = 3) int fault) {
        RolloutSimulation simulation = new RolloutSimulation(seed, targets, controllers, 0.5);
        RolloutSimulation.Target faultyTarget =
                simulation.targets.get(simulation.random.nextInt(targets));
        faultyTarget.isFailing = fault == 1;
        faultyTarget.isHanging = fault == 2;
        simulation.hasFaults = true;
        for (int i = 0; i < 30; i++) {
            simulation.injectFault();
            if (fault == 3 && i == 5) {
                simulation.stop();
            }
            simulation.run(simulation.random.nextInt(4_000));
        }
        simulation.hasFaults = false;
        for (long startMs = simulation.nowMs; !simulation.hasEnded(); ) {
            simulation.run(10_000);
            assertTrue(
                    simulation.nowMs - startMs < HOUR_MS, () -> "not ended: " + simulation.stored);
        }
        simulation.run(60_000);
        RolloutState end = simulation.stored.orElseThrow();
        boolean isCompleted = end.phase() == RolloutPhase.COMPLETED;
        assertEquals(isCompleted, end.rollbackReason().isEmpty(), end::toString);
        assertFalse(isCompleted && faultyTarget.isFailing);
        simulation.targets.forEach(
                target -> assertEquals(isCompleted ? "2" : "1", target.version, end::toString));
    }

    @Property(seed = "8062", tries = 50)
    void loadsKeepToTheWeightStoresRate(@ForAll long seed) {
        RolloutSimulation simulation = new RolloutSimulation(seed, 8, 2, 0.25);
        simulation.run(120_000);
        assertEquals(RolloutPhase.COMPLETED, simulation.stored.orElseThrow().phase());
        for (int i = 1; i < simulation.loadStarts.size(); i++) {
            assertTrue(simulation.loadStarts.get(i) - simulation.loadStarts.get(i - 1) >= 1_000);
        }
    }
}
