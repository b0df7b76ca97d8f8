package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.load.Placement.Choice;

/** A call must go where its first event is in time, or be refused at once. */
class PlacementTest {
    private static final long MILLI = 1_000_000;
    private static final Duration OBJECTIVE = Duration.ofMillis(300);

    private final Placement placement = Placement.of("near", Duration.ofMillis(30));

    private static TargetLoad target(String id, String zone, int online, int batch) {
        return new TargetLoad(
                id, zone, 8, new TargetCalls(online, batch), 800 * MILLI, 50 * MILLI, false, 0);
    }

    private String chosen(TargetLoad... targets) {
        Choice choice = placement.choose(List.of(targets), OBJECTIVE, 7);
        return assertInstanceOf(Choice.Placed.class, choice).target().id();
    }

    @Test
    void prefersAFreeSlotInItsOwnZone() {
        assertEquals("a", chosen(target("a", "near", 7, 0), target("b", "far", 0, 0)));
    }

    @Test
    void prefersTheLessLoadedTargetInItsZone() {
        assertEquals("b", chosen(target("a", "near", 5, 0), target("b", "near", 4, 0)));
    }

    @Test
    void prefersAFreeSlotInAnotherZoneToPreemption() {
        assertEquals("b", chosen(target("a", "near", 4, 4), target("b", "far", 7, 0)));
    }

    @Test
    void prefersPreemptingABatchItemToAQueue() {
        assertEquals("b", chosen(target("a", "near", 8, 0), target("b", "far", 7, 1)));
    }

    @Test
    void joinsTheShortestQueueThatMeetsTheObjective() {
        assertEquals("b", chosen(target("a", "near", 10, 0), target("b", "far", 8, 0)));
    }

    @Test
    void avoidsASlowTargetWhoseSlotIsFree() {
        TargetLoad slow =
                new TargetLoad(
                        "a",
                        "near",
                        8,
                        new TargetCalls(2, 0),
                        4_000 * MILLI,
                        250 * MILLI,
                        false,
                        0);

        assertEquals("b", chosen(slow, target("b", "near", 3, 0)));
    }

    @Test
    void refusesWhereNoTargetMeetsTheObjective() {
        Choice choice =
                placement.choose(
                        List.of(target("a", "near", 11, 0), target("b", "far", 12, 0)),
                        OBJECTIVE,
                        7);

        Choice.Refused refusal = assertInstanceOf(Choice.Refused.class, choice);
        // The call gets the fourth slot to become free, one every 100 ms; 270 ms are left.
        assertEquals(Duration.ofMillis(400 + 50 - 270), refusal.retryAfter());
        assertTrue(!refusal.hasNoTarget());
    }

    /** Only answers correct an estimate, so a target without calls must get one. */
    @Test
    void callsAreNotRefusedForEverOnceAllTargetsHaveBeenSlow() {
        TargetHealth health =
                TargetHealth.of(
                        Duration.ofMillis(200),
                        Duration.ofMillis(400),
                        Duration.ofMillis(50),
                        Duration.ofMillis(800),
                        Duration.ofMillis(25));
        for (int i = 0; i < 20; i++) {
            health.onFirstEvent(400 * MILLI);
        }

        int refused = 0;
        for (int i = 0; i < 20; i++) {
            List<TargetLoad> targets = List.of(withHealth(health));
            if (placement.choose(targets, OBJECTIVE, i) instanceof Choice.Refused) {
                refused++;
                assertEquals("a", placement.chooseToMeasure(targets, i).orElseThrow().id());
            }
            health.onFirstEvent(50 * MILLI);
        }

        assertTrue(refused > 0 && refused < 5, refused + " refused");
    }

    private static TargetLoad withHealth(TargetHealth health) {
        return new TargetLoad(
                "a",
                "near",
                8,
                TargetCalls.NONE,
                health.callNanos(),
                health.timeToFirstEventNanos(),
                false,
                0);
    }

    @Test
    void aTargetWithoutAFreeSlotIsNotMeasured() {
        assertTrue(placement.chooseToMeasure(List.of(target("a", "near", 8, 0)), 7).isEmpty());
        assertEquals(
                "b",
                placement
                        .chooseToMeasure(
                                List.of(target("a", "near", 8, 0), target("b", "far", 5, 3)), 7)
                        .orElseThrow()
                        .id());
    }

    @Test
    void reportsThatThereIsNoTarget() {
        Choice choice = placement.choose(List.of(), OBJECTIVE, 7);

        assertTrue(assertInstanceOf(Choice.Refused.class, choice).hasNoTarget());
    }

    @Test
    void distributesCallsOverEqualTargets() {
        long toFirst =
                java.util.stream.LongStream.range(0, 400)
                        .map(draw -> draw * 0x9E3779B97F4A7C15L)
                        .mapToObj(
                                draw ->
                                        placement.choose(
                                                List.of(
                                                        target("a", "near", 1, 0),
                                                        target("b", "near", 1, 0)),
                                                OBJECTIVE,
                                                draw))
                        .filter(choice -> ((Choice.Placed) choice).target().id().equals("a"))
                        .count();

        assertTrue(toFirst > 120 && toFirst < 280, "" + toFirst);
    }

    /** At its limit it has free slots, but is no choice while another target can run the call. */
    @Test
    void aTargetWhoseRateLimitAllowsNoRequestNowIsNotPreferred() {
        TargetLoad limited = target("a", "near", 0, 0).withRateLimit(100 * MILLI);

        assertEquals("b", chosen(limited, target("b", "far", 7, 0)));
        assertEquals("a", chosen(limited, target("b", "far", 16, 0)));
    }

    @Test
    void aRateLimitedTargetIsKeptForWhenCallsHoldAllOtherSlots() {
        TargetLoad limited = target("a", "near", 0, 0).withRateLimit(0);

        assertEquals("b", chosen(limited, target("b", "far", 7, 0)));
        assertEquals("b", chosen(limited, target("b", "near", 7, 1)));
        assertEquals("a", chosen(limited, target("b", "near", 8, 0)));
    }

    @Test
    void aCallIsRefusedIfNoRateLimitAllowsItInTime() {
        TargetLoad limited = target("a", "near", 0, 0).withRateLimit(900 * MILLI);

        Choice choice = placement.choose(List.of(limited), OBJECTIVE, 7);

        Choice.Refused refused = assertInstanceOf(Choice.Refused.class, choice);
        assertFalse(refused.hasNoTarget());
        assertTrue(refused.retryAfter().toMillis() >= 650, refused.retryAfter().toString());
    }

    @Test
    void aTargetWhoseRateLimitAllowsNoRequestIsNotMeasured() {
        assertTrue(
                placement
                        .chooseToMeasure(List.of(target("a", "near", 0, 0).withRateLimit(MILLI)), 7)
                        .isEmpty());
    }
}
