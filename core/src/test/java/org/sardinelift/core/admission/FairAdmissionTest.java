package org.sardinelift.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Decisions of one gateway. */
class FairAdmissionTest {
    private static final long MS = 1_000_000;
    private static final Duration LONGEST = Duration.ofMillis(1_500);

    private final FairAdmission admission =
            FairAdmission.create(Duration.ofSeconds(1), team -> team.equals("heavy") ? 3 : 1);
    private final Random random = new Random(1);
    private long now = MS;

    private void fill(Duration time) {
        for (long end = now + time.toNanos(); now < end; now += 50 * MS) {
            admission.onSample(10.5, 10, 1, now);
        }
    }

    private ShareDecision decide(String team, boolean isReturning) {
        return admission.decide(
                new FairAdmission.Call(team, isReturning, LONGEST, random.nextLong()), now);
    }

    /** Sends calls of the teams for some seconds and returns how many each had within its share. */
    private Map<String, Integer> admitted(Map<String, Integer> perSecond, int seconds) {
        Map<String, Integer> counts = new java.util.HashMap<>();
        for (int step = 0; step < seconds * 1_000; step++) {
            now += MS;
            if (step % 50 == 0) {
                admission.onSample(10.5, 10, 1, now);
            }
            perSecond.forEach(
                    (team, rate) -> {
                        if (random.nextInt(1_000) < rate
                                && decide(team, false) instanceof ShareDecision.Admitted) {
                            counts.merge(team, 1, Integer::sum);
                        }
                    });
        }
        return counts;
    }

    /** Guards against a level that leaves slots undivided or cuts a small demand. */
    @Test
    void levelCutsOnlyTheLargestDemands() {
        var one = new MaxMinShare.Demand(1, 1);
        var five = new MaxMinShare.Demand(5, 1);
        var nine = new MaxMinShare.Demand(9, 2);
        assertEquals(3, MaxMinShare.level(List.of(five, nine, one), 10), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, MaxMinShare.level(List.of(one, five), 6));
        assertEquals(0, MaxMinShare.level(List.of(one, five), 0));
    }

    /** Guards against shares that ignore weights: 10 slots with weights 3 and 1. */
    @Test
    void sharesFollowWeights() {
        fill(Duration.ofMillis(200));
        admitted(Map.of("heavy", 30, "light", 30), 5);
        Map<String, Integer> counts = admitted(Map.of("heavy", 30, "light", 30), 60);
        assertEquals(7.5 * 60, counts.get("heavy"), 0.1 * 7.5 * 60);
        assertEquals(2.5 * 60, counts.get("light"), 0.15 * 2.5 * 60);
    }

    /** Guards against the refusal of a returning caller for new calls of its team. */
    @Test
    void returningCallersGoFirst() {
        fill(Duration.ofMillis(200));
        admitted(Map.of("a", 50, "b", 1), 5);
        assertInstanceOf(ShareDecision.Admitted.class, decide("a", true));
        assertInstanceOf(ShareDecision.Admitted.class, decide("a", true));
        long admittedNew =
                IntStream.range(0, 5)
                        .filter(i -> decide("a", false) instanceof ShareDecision.Admitted)
                        .count();
        assertEquals(0, admittedNew);
    }

    /** Guards against a caller that claims to return and so gets more than its share. */
    @Test
    void advancesAreBounded() {
        fill(Duration.ofMillis(200));
        admitted(Map.of("a", 50, "b", 1), 5);
        long admittedReturning =
                IntStream.range(0, 100)
                        .filter(i -> decide("a", true) instanceof ShareDecision.Admitted)
                        .count();
        assertTrue(admittedReturning <= 20, () -> "admitted " + admittedReturning);
    }

    /** Guards against decisions and reports without a shortage. */
    @Test
    void withoutAShortageAllCallsAreAdmittedAndNothingIsReported() {
        for (int i = 0; i < 1_000; i++) {
            now += MS;
            admission.onSample(9, 10, 1, now);
            assertEquals(ShareDecision.Admitted.NO_SHORTAGE, decide("a", false));
        }
        assertTrue(admission.report(now).isEmpty());
        assertTrue(admission.retryAfterNoRoom(LONGEST, 1).isEmpty());
    }

    /** Guards against a shortage that flaps with the use of slots. */
    @Test
    void aShortageNeedsFullSlotsForSomeTimeAndEndsLater() {
        fill(Duration.ofMillis(100));
        assertFalse(admission.isShort());
        fill(Duration.ofMillis(50));
        assertTrue(admission.isShort());
        IntStream.range(0, 19).forEach(i -> admission.onSample(8, 10, 1, now += 50 * MS));
        admission.onSample(9.5, 10, 1, now += 50 * MS);
        IntStream.range(0, 20).forEach(i -> admission.onSample(8, 10, 1, now += 50 * MS));
        assertTrue(admission.isShort());
        admission.onSample(8, 10, 1, now += 50 * MS);
        assertFalse(admission.isShort());
    }

    /** Guards against refusals for shares while there is no target at all, and so no share. */
    @Test
    void aShortageEndsWhenThereIsNoTarget() {
        fill(Duration.ofMillis(500));
        assertTrue(admission.onSample(0, 0, 1, now));
        assertEquals(ShareDecision.Admitted.NO_SHORTAGE, decide("a", false));
    }

    /** Guards against a shortage without a log line, if a call finds no room between samples. */
    @Test
    void aShortageThatBeginsWithACallIsAnnouncedOnce() {
        admission.onSample(9.5, 10, 1, now);
        admission.onNoRoom("a", now);
        assertTrue(admission.isShort());
        assertTrue(admission.onSample(9.5, 10, 1, now));
        assertFalse(admission.onSample(9.5, 10, 1, now));
    }

    /** Guards against the demand of a lost gateway being used for longer than 1.2 s. */
    @Test
    void reportsExpire() {
        fill(Duration.ofMillis(1_000));
        admission.onReport("g2", new ReportedDemand(Map.of("a", 90.0), 0, 0), now);
        decide("a", false);
        fill(Duration.ofMillis(1_000));
        assertTrue(IntStream.range(0, 9).anyMatch(i -> isAbove(decide("a", false))));
        fill(Duration.ofMillis(300));
        decide("a", false);
        assertFalse(IntStream.range(0, 5).anyMatch(i -> isAbove(decide("c", false))));
    }

    private static boolean isAbove(ShareDecision decision) {
        return decision instanceof ShareDecision.AboveShare;
    }

    /** Guards against reports that name all of 4,100 teams. */
    @Test
    void reportsNameTheLargestAndSumUpTheOthers() {
        fill(Duration.ofMillis(200));
        for (int i = 0; i < 4_100; i++) {
            decide("team" + i, false);
        }
        IntStream.range(0, 20).forEach(i -> decide("team7", false));
        fill(Duration.ofMillis(100));
        ReportedDemand report = admission.report(now).orElseThrow();
        assertEquals(64, report.slotsByTeam().size());
        assertTrue(report.slotsByTeam().containsKey("team7"));
        assertEquals(4_036, report.otherTeams());
        double all = 4_120 * Math.exp(-(now - 251 * MS) / 1e9);
        double named = report.slotsByTeam().values().stream().mapToDouble(each -> each).sum();
        assertEquals(all, named + report.otherSlots(), 0.2 * all);
    }
}
