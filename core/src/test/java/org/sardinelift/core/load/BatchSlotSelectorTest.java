package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An item must not start on a slot that is free only between two online calls. */
class BatchSlotSelectorTest {
    private static final long MILLI = 1_000_000;

    private final BatchSlotSelector selector =
            BatchSlotSelector.of(
                    "near", Duration.ofMillis(40), Duration.ofMillis(150), Duration.ofMillis(6));

    private static TargetLoad target(String id, String zone, int calls) {
        return new TargetLoad(
                id, zone, 8, new TargetCalls(calls, 0), 750 * MILLI, 50 * MILLI, false, 0);
    }

    private String selected(long ms, TargetLoad... targets) {
        selector.observe(List.of(targets), ms * MILLI);
        return selector.select(List.of(targets), ms * MILLI).map(TargetLoad::id).orElse("none");
    }

    @Test
    void selectsASlotOnlyAfterItWasFreeForTheSettleTime() {
        assertEquals("none", selected(0, target("a", "near", 7)));
        assertEquals("none", selected(39, target("a", "near", 7)));
        assertEquals("a", selected(40, target("a", "near", 7)));
    }

    @Test
    void restartsTheSettleTimeWhenTheSlotWasTaken() {
        selected(0, target("a", "near", 7));
        selected(30, target("a", "near", 8));

        assertEquals("none", selected(31, target("a", "near", 7)));
        assertEquals("none", selected(70, target("a", "near", 7)));
        assertEquals("a", selected(71, target("a", "near", 7)));
    }

    @Test
    void waitsLongerForSlotsInOtherZones() {
        assertEquals("none", selected(0, target("b", "far", 0)));
        assertEquals("none", selected(149, target("b", "far", 0)));
        assertEquals("b", selected(150, target("b", "far", 0)));
        assertEquals("b", selected(160, target("a", "near", 7), target("b", "far", 0)));
        assertEquals("a", selected(200, target("a", "near", 7), target("b", "far", 0)));
    }

    @Test
    void startsOneItemAtATimeOnATarget() {
        selected(0, target("a", "near", 5), target("c", "near", 6));
        assertEquals("a", selected(40, target("a", "near", 5), target("c", "near", 6)));
        selector.onItemStarted("a", 40 * MILLI);

        assertEquals("c", selected(41, target("a", "near", 6), target("c", "near", 6)));
        selector.onItemStarted("c", 41 * MILLI);
        assertEquals("none", selected(42, target("a", "near", 6), target("c", "near", 7)));
        assertTrue(selector.hasFreeSlot(List.of(target("a", "near", 6))));
        assertEquals("a", selected(46, target("a", "near", 6), target("c", "near", 7)));
    }

    @Test
    void aSlotWhoseTargetIsAtItsRateLimitIsNotFree() {
        TargetLoad limited = target("a", "near", 0).withRateLimit(5 * MILLI);

        assertEquals("none", selected(0, limited));
        assertEquals("none", selected(100, limited));
        assertEquals("none", selected(105, target("a", "near", 0)));
        assertEquals("a", selected(145, target("a", "near", 0)));
    }

    @Test
    void prefersATargetThatLimitsItsRequests() {
        TargetLoad limited = target("a", "far", 6).withRateLimit(0);

        selected(0, limited, target("b", "near", 0));
        assertEquals("a", selected(150, limited, target("b", "near", 0)));
    }
}
