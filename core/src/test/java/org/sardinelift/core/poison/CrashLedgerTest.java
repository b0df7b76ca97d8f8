package org.sardinelift.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a request that kills many targets because it is sent and retried through several
 * entries, and against refusals of requests that only ran beside it.
 */
class CrashLedgerTest {
    private static final String POISON = "poison";
    private static final int TARGETS = 4;
    private static final CrashBounds BOUNDS = new CrashBounds(1_000, 10_000, 5, 10);

    /** One request kills each target that runs it; it is sent 20 times among 40 harmless ones. */
    @Property(seed = "51", tries = 500)
    void atMostTwoTargetsDieAndOtherRequestsComplete(@ForAll Random random) {
        Fleet fleet = run(random, false);
        assertTrue(fleet.deathCount <= 2, fleet.deathCount + " targets died");
    }

    /** Copies of the request reach two targets through several entries before the first death. */
    @Property(seed = "53", tries = 500)
    void copiesOnTwoTargetsAreStoppedAndOtherRequestsComplete(@ForAll Random random) {
        Fleet fleet = run(random, true);
        assertTrue(fleet.deathCount <= 2, fleet.deathCount + " targets died");
    }

    private static Fleet run(Random random, boolean isSpread) {
        Fleet fleet = new Fleet(random, isSpread);
        for (int copy = 0; copy < 20; copy++) {
            fleet.waiting.add(POISON);
            fleet.waiting.add("good" + 2 * copy);
            fleet.waiting.add("good" + (2 * copy + 1));
        }
        for (int step = 0; step < 5_000 && !fleet.isIdle(); step++) {
            fleet.step();
        }
        assertTrue(fleet.isIdle(), "all ended");
        assertEquals(20, fleet.refusedCount);
        assertEquals(40, fleet.completed.size());
        return fleet;
    }

    @Example
    void deathReportedTwiceCountsOnce() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onTargetDeath("f", "t1#1", false, 0);
        ledger.onTargetDeath("f", "t1#1", true, 1);
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("f", 50));
    }

    @Example
    void onlySuspectOnADeadTargetIsRefused() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onTargetDeath("f", "t1#1", false, 0);
        ledger.onTargetDeath("g", "t1#1", false, 0);
        ledger.onTargetDeath("f", "t2#1", true, 10);
        ledger.onTargetDeath("h", "t2#1", false, 10);
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("f", 11));
        assertEquals(CrashVerdict.REFUSED, ledger.verdict("f", 15));
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("g", 15));
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("h", 15));
    }

    @Example
    void suspectIsNotRefusedIfAnotherWasOnTheSameTarget() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onTargetDeath("good", "t1#1", false, 0);
        ledger.onTargetDeath("bad", "t1#1", false, 0);
        ledger.onTargetDeath("good", "t2#1", true, 10);
        ledger.onTargetDeath("bad", "t2#1", false, 11);
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("good", 20));
    }

    @Example
    void noTrialStartsBeforeTheEvidenceHasSettled() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onTargetDeath("f", "t1#1", false, 0);
        assertFalse(ledger.tryStartTrial("f", "t2", 0, 4));
        assertTrue(ledger.tryStartTrial("f", "t2", 0, 5));
        assertFalse(ledger.tryStartTrial("f", "t3", 0, 5));
        assertFalse(ledger.tryStartTrial("g", "t2", 0, 5));
    }

    @Example
    void noTrialStartsForARefusedRequest() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onTargetDeath("f", "t1#1", false, 0);
        ledger.onTargetDeath("f", "t2#1", false, 1);
        assertEquals(CrashVerdict.SUSPECT, ledger.verdict("f", 5));
        assertFalse(ledger.tryStartTrial("f", "t3", 0, 6));
    }

    @Example
    void refusalEndsAfterItsTime() {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onRefused("f", 500);
        assertEquals(CrashVerdict.REFUSED, ledger.verdict("f", 499));
        assertEquals(CrashVerdict.CLEAR, ledger.verdict("f", 500));
    }

    @Property(seed = "52")
    void suspectsDoNotDisplaceRefusals(@ForAll Random random) {
        CrashLedger ledger = CrashLedger.of(BOUNDS);
        ledger.onRefused("bad", 10_000);
        for (int i = 0; i < 100; i++) {
            ledger.onTargetDeath("f" + random.nextInt(50), "t" + i, false, 0);
        }
        assertEquals(CrashVerdict.REFUSED, ledger.verdict("bad", 1));
    }

    /** Targets that run several calls at once; concurrent copies go to the same target. */
    private static final class Fleet {
        final Deque<String> waiting = new ArrayDeque<>();
        final Set<String> completed = new HashSet<>();
        private final CrashLedger ledger =
                CrashLedger.of(new CrashBounds(1_000_000, 1_000_000, 5, 1_000));
        private final List<List<String>> running = new ArrayList<>();
        private final Map<Integer, Set<String>> trials = new HashMap<>();
        private final Random random;
        private final boolean isSpread;
        private int incarnations;
        private long nowMs;
        int deathCount;
        int refusedCount;

        Fleet(Random random, boolean isSpread) {
            this.isSpread = isSpread;
            this.random = random;
            for (int target = 0; target < TARGETS; target++) {
                running.add(new ArrayList<>());
            }
        }

        boolean isIdle() {
            return waiting.isEmpty() && running.stream().allMatch(List::isEmpty);
        }

        void step() {
            nowMs++;
            int target = random.nextInt(TARGETS);
            if (random.nextBoolean() && !waiting.isEmpty()) {
                start(waiting.poll());
            } else if (!running.get(target).isEmpty()) {
                end(target, running.get(target).get(random.nextInt(running.get(target).size())));
            }
        }

        private void start(String call) {
            CrashVerdict verdict = ledger.verdict(call, nowMs);
            if (verdict == CrashVerdict.REFUSED) {
                refusedCount++;
                return;
            }
            int target = Math.floorMod(call.hashCode(), TARGETS);
            if (verdict == CrashVerdict.CLEAR && isSpread && random.nextBoolean()) {
                target = (target + 1) % TARGETS;
            }
            if (verdict == CrashVerdict.SUSPECT) {
                if (!ledger.tryStartTrial(call, "t" + target, 0, nowMs)) {
                    waiting.add(call);
                    return;
                }
                trials.computeIfAbsent(target, key -> new HashSet<>()).add(call);
            }
            running.get(target).add(call);
        }

        private void end(int target, String call) {
            if (call.equals(POISON)) {
                die(target);
                return;
            }
            running.get(target).remove(call);
            endTrial(target, call);
            ledger.onCompleted(call);
            completed.add(call);
        }

        private void die(int target) {
            deathCount++;
            incarnations++;
            List<String> lost = new ArrayList<>(running.get(target));
            Collections.shuffle(lost, random);
            running.get(target).clear();
            Set<String> suspects = Set.copyOf(trials.getOrDefault(target, Set.of()));
            for (String call : lost) {
                endTrial(target, call);
                ledger.onTargetDeath(call, "life" + incarnations, suspects.contains(call), nowMs);
                waiting.addFirst(call);
            }
            withdraw(Set.copyOf(lost));
        }

        /** Entries withdraw copies of new suspects from other targets. */
        private void withdraw(Set<String> suspects) {
            for (int target = 0; target < TARGETS; target++) {
                for (String call : List.copyOf(running.get(target))) {
                    if (suspects.contains(call)) {
                        running.get(target).remove(call);
                        endTrial(target, call);
                        waiting.addFirst(call);
                    }
                }
            }
        }

        private void endTrial(int target, String call) {
            if (trials.computeIfAbsent(target, key -> new HashSet<>()).remove(call)) {
                ledger.endTrial(call, "t" + target);
            }
        }
    }
}
