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
     * The world asserts at every step that enough targets serve and that each order's number is
     * under the platform's newest fence.
     */
    @Property(seed = "8061", tries = 300)
    void everyRolloutEndsWholeWhateverBefallsItsControllers(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 8) int targets,
            @ForAll @IntRange(min = 1, max = 3) int controllers,
            @ForAll @IntRange(min = 0, max = 3) int fault) {
        RolloutSimulation world = new RolloutSimulation(seed, targets, controllers, 0.5);
        RolloutSimulation.Target odd = world.targets.get(world.random.nextInt(targets));
        odd.failing = fault == 1;
        odd.hanging = fault == 2;
        world.faulty = true;
        for (int i = 0; i < 30; i++) {
            world.injectFault();
            if (fault == 3 && i == 5) {
                world.stop();
            }
            world.run(world.random.nextInt(4_000));
        }
        world.faulty = false;
        for (long began = world.nowMs; !world.ended(); ) {
            world.run(10_000);
            assertTrue(world.nowMs - began < HOUR_MS, () -> "not ended: " + world.stored);
        }
        world.run(60_000);
        RolloutState end = world.stored.orElseThrow();
        boolean whole = end.phase() == RolloutPhase.COMPLETED;
        assertEquals(whole, end.rollbackReason().isEmpty(), end::toString);
        assertFalse(whole && odd.failing);
        world.targets.forEach(
                target -> assertEquals(whole ? "2" : "1", target.version, end::toString));
    }

    @Property(seed = "8062", tries = 50)
    void loadsKeepToTheWeightStoresRate(@ForAll long seed) {
        RolloutSimulation world = new RolloutSimulation(seed, 8, 2, 0.25);
        world.run(120_000);
        assertEquals(RolloutPhase.COMPLETED, world.stored.orElseThrow().phase());
        for (int i = 1; i < world.loadStarts.size(); i++) {
            assertTrue(world.loadStarts.get(i) - world.loadStarts.get(i - 1) >= 1_000);
        }
    }
}
