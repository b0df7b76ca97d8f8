package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class BatchSlotSelectorTest {
    private static final long MILLI = 1_000_000;

    private final BatchSlotSelector slots =
            BatchSlotSelector.of(
                    "near", Duration.ofMillis(40), Duration.ofMillis(150), Duration.ofMillis(6));

    private static TargetLoad target(String id, String zone, int calls) {
        return new TargetLoad(id, zone, 8, new TargetCalls(calls, 0), 750 * MILLI, 50 * MILLI);
    }

    private String picked(long ms, TargetLoad... targets) {
        slots.observe(List.of(targets), ms * MILLI);
        return slots.select(List.of(targets), ms * MILLI).map(TargetLoad::id).orElse("none");
    }

    @Test
    void aSlotMustBeFreeForAWhile() {
        assertEquals("none", picked(0, target("a", "near", 7)));
        assertEquals("none", picked(39, target("a", "near", 7)));
        assertEquals("a", picked(40, target("a", "near", 7)));
    }

    @Test
    void aSlotTakenInBetweenBeginsAnew() {
        picked(0, target("a", "near", 7));
        picked(30, target("a", "near", 8));

        assertEquals("none", picked(31, target("a", "near", 7)));
        assertEquals("none", picked(70, target("a", "near", 7)));
        assertEquals("a", picked(71, target("a", "near", 7)));
    }

    @Test
    void workersOfTheZoneComeFirst() {
        assertEquals("none", picked(0, target("b", "far", 0)));
        assertEquals("none", picked(149, target("b", "far", 0)));
        assertEquals("b", picked(150, target("b", "far", 0)));
        assertEquals("b", picked(160, target("a", "near", 7), target("b", "far", 0)));
        assertEquals("a", picked(200, target("a", "near", 7), target("b", "far", 0)));
    }

    @Test
    void oneItemAtATimeIsStartedOnATarget() {
        picked(0, target("a", "near", 5), target("c", "near", 6));
        assertEquals("a", picked(40, target("a", "near", 5), target("c", "near", 6)));
        slots.onItemStarted("a", 40 * MILLI);

        assertEquals("c", picked(41, target("a", "near", 6), target("c", "near", 6)));
        slots.onItemStarted("c", 41 * MILLI);
        assertEquals("none", picked(42, target("a", "near", 6), target("c", "near", 7)));
        assertTrue(slots.hasFreeSlot(List.of(target("a", "near", 6))));
        assertEquals("a", picked(46, target("a", "near", 6), target("c", "near", 7)));
    }
}
