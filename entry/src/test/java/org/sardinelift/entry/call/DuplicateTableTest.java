package org.sardinelift.entry.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.sardinelift.core.poison.CrashBounds;
import org.sardinelift.core.poison.CrashLedger;
import org.sardinelift.core.poison.CrashVerdict;

/**
 * Guards against a request that crashes targets and kills more than two of them. That could happen
 * if its copies, sent through two entries, went to several targets before evidence of a death
 * arrives.
 */
class DuplicateTableTest {
    private static final String POISON = "poison";
    private static final int ENTRIES = 2;
    private static final int TARGETS = 4;
    private static final int COPIES = 10;
    private static final int RESTART_MS = 100;
    private static final int MAX_FRAME_DELAY_MS = 20;

    /** Four frames: evidence of another death, a Start in flight, its answer and its evidence. */
    private static final int SETTLE_MS = 4 * MAX_FRAME_DELAY_MS + 1;

    private static final int RETRY_MS = 2;
    private static final int RUN_MS = 20;
    private static final int TIME_LIMIT_MS = 100_000;

    /**
     * Evidence and reports of targets are delayed at random, so they arrive before or after
     * answers.
     */
    @Property(seed = "54", tries = 500)
    void duplicatesThroughTwoEntriesKillAtMostTwoTargets(@ForAll Random random) {
        Fleet fleet = new Fleet(random);
        fleet.run();
        assertEquals(ENTRIES * COPIES, fleet.completed, "innocent requests completed");
        assertEquals(ENTRIES * COPIES, fleet.refused, "copies refused");
        assertTrue(fleet.deaths <= 2, fleet.deaths + " targets died");
    }

    @Example
    void aDuplicateWaitsWhileOthersAreOnATargetThatTakesNoMore() {
        DuplicateTable duplicates = new DuplicateTable();
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                duplicates.findPlacement("f", name -> true, true));
        duplicates.add("f", "c1");
        assertEquals(
                new DuplicateTable.Placement.Pinned("c1"),
                duplicates.findPlacement("f", name -> true, true));
        assertEquals(
                new DuplicateTable.Placement.Blocked(),
                duplicates.findPlacement("f", name -> false, true));
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                duplicates.findPlacement("f", name -> false, false));
        duplicates.remove("f", "c1");
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                duplicates.findPlacement("f", name -> false, true));
    }

    /** An action at a simulated time in milliseconds; actions at one time keep their order. */
    private record Event(long atMs, long order, Runnable action) {}

    /** A call of one entry, with its current attempt. */
    private static final class Call {
        final String fingerprint;
        final Set<Integer> tried = new HashSet<>();
        int target = -1;
        int attempt;
        boolean isSuspect;

        Call(String fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** An attempt of a call on a target. */
    private record Run(Entry entry, Call call, int attempt) {}

    private static final class Fleet {
        final Random random;
        final List<Entry> entries = new ArrayList<>();
        final List<Target> targets = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
        private final Map<String, Long> lastArrivalByConnection = new HashMap<>();
        private long order;
        long nowMs;
        int deaths;
        int completed;
        int refused;

        Fleet(Random random) {
            this.random = random;
            IntStream.range(0, TARGETS).forEach(name -> targets.add(new Target(this, name)));
            IntStream.range(0, ENTRIES).forEach(turn -> entries.add(new Entry(this, turn)));
        }

        void run() {
            for (Entry entry : entries) {
                for (int copy = 0; copy < COPIES; copy++) {
                    Call crashing = new Call(POISON);
                    Call innocent = new Call("good " + entry.turn + " " + copy);
                    after(random.nextInt(RUN_MS), () -> entry.startNextAttempt(crashing));
                    after(random.nextInt(RUN_MS), () -> entry.startNextAttempt(innocent));
                }
            }
            while (!events.isEmpty() && nowMs < TIME_LIMIT_MS) {
                Event event = events.poll();
                nowMs = event.atMs();
                event.action().run();
            }
        }

        void after(long delayMs, Runnable action) {
            events.add(new Event(nowMs + delayMs, order++, action));
        }

        /** Runs an action after a random delay; frames of one connection keep their order. */
        void send(String connection, Runnable action) {
            long at = nowMs + 1 + random.nextInt(MAX_FRAME_DELAY_MS);
            at = lastArrivalByConnection.merge(connection, at, Math::max);
            events.add(new Event(at, order++, action));
        }
    }

    private static final class Target {
        private final Fleet fleet;
        private final int name;
        private final List<Run> inFlight = new ArrayList<>();
        private long deadUntilMs;

        Target(Fleet fleet, int name) {
            this.fleet = fleet;
            this.name = name;
        }

        void start(Run run) {
            if (fleet.nowMs < deadUntilMs) {
                answer(run, () -> run.entry().onNotRun(run));
                return;
            }
            inFlight.add(run);
            if (run.call().fingerprint.equals(POISON)) {
                die();
            } else {
                fleet.after(RUN_MS, () -> end(run));
            }
        }

        void cancel(Run run) {
            inFlight.remove(run);
        }

        private void die() {
            String incarnation = name + "#" + ++fleet.deaths;
            deadUntilMs = fleet.nowMs + RESTART_MS;
            List<Run> lostRuns = List.copyOf(inFlight);
            inFlight.clear();
            lostRuns.forEach(run -> answer(run, () -> run.entry().onTargetDied(run, incarnation)));
            report(false);
            fleet.after(RESTART_MS, () -> report(true));
        }

        private void end(Run run) {
            if (inFlight.remove(run)) {
                answer(run, () -> run.entry().onCompleted(run));
            }
        }

        private void report(boolean isHealthy) {
            for (Entry entry : fleet.entries) {
                fleet.send("r" + name + entry.turn, () -> entry.onReport(name, isHealthy));
            }
        }

        private void answer(Run run, Runnable action) {
            fleet.send("a" + name + run.entry().turn, action);
        }
    }

    private static final class Entry {
        private final Fleet fleet;
        private final int turn;
        private final CrashLedger ledger =
                CrashLedger.of(new CrashBounds(TIME_LIMIT_MS, TIME_LIMIT_MS, SETTLE_MS, 1_000));
        private final DuplicateTable duplicates = new DuplicateTable();
        private final Set<Integer> unhealthyTargets = new HashSet<>();
        private final List<Run> running = new ArrayList<>();

        Entry(Fleet fleet, int turn) {
            this.fleet = fleet;
            this.turn = turn;
        }

        void startNextAttempt(Call call) {
            CrashVerdict verdict = ledger.verdict(call.fingerprint, fleet.nowMs);
            if (verdict == CrashVerdict.REFUSED) {
                fleet.refused++;
                return;
            }
            call.isSuspect = verdict == CrashVerdict.SUSPECT;
            if (!start(call)) {
                fleet.after(RETRY_MS, () -> startNextAttempt(call));
            }
        }

        private boolean start(Call call) {
            DuplicateTable.Placement placement =
                    duplicates.findPlacement(
                            call.fingerprint, name -> isUsable(call, Integer.parseInt(name)), true);
            if (placement instanceof DuplicateTable.Placement.Blocked) {
                return false;
            }
            int target =
                    placement instanceof DuplicateTable.Placement.Pinned pinned
                            ? Integer.parseInt(pinned.companion())
                            : route(call);
            if (target < 0 || call.isSuspect && !tryTrial(call, target)) {
                return false;
            }
            duplicates.add(call.fingerprint, Integer.toString(target));
            call.target = target;
            Run run = new Run(this, call, ++call.attempt);
            running.add(run);
            fleet.send("s" + turn + target, () -> fleet.targets.get(target).start(run));
            return true;
        }

        private boolean tryTrial(Call call, int target) {
            return ledger.tryStartTrial(
                    call.fingerprint,
                    Integer.toString(target),
                    (long) turn * SETTLE_MS,
                    fleet.nowMs);
        }

        private int route(Call call) {
            int first = Math.floorMod(call.fingerprint.hashCode(), TARGETS);
            int target =
                    IntStream.range(0, TARGETS)
                            .map(step -> (first + step) % TARGETS)
                            .filter(name -> isUsable(call, name))
                            .findFirst()
                            .orElse(-1);
            if (target < 0) {
                call.tried.clear();
            }
            return target;
        }

        private boolean isUsable(Call call, int target) {
            return !unhealthyTargets.contains(target) && !call.tried.contains(target);
        }

        void onReport(int target, boolean isHealthy) {
            if (isHealthy) {
                unhealthyTargets.remove(target);
            } else {
                unhealthyTargets.add(target);
            }
        }

        void onCompleted(Run run) {
            if (release(run)) {
                ledger.onCompleted(run.call().fingerprint);
                fleet.completed++;
            }
        }

        void onNotRun(Run run) {
            if (release(run)) {
                run.call().tried.add(run.call().target);
                fleet.after(
                        fleet.random.nextInt(MAX_FRAME_DELAY_MS),
                        () -> startNextAttempt(run.call()));
            }
        }

        void onTargetDied(Run run, String incarnation) {
            String fingerprint = run.call().fingerprint;
            boolean isSingleSuspect = run.call().isSuspect;
            onEvidence(fingerprint, incarnation, isSingleSuspect);
            fleet.entries.stream()
                    .filter(entry -> entry != this)
                    .forEach(
                            peer ->
                                    fleet.send(
                                            "e" + turn + peer.turn,
                                            () ->
                                                    peer.onEvidence(
                                                            fingerprint,
                                                            incarnation,
                                                            isSingleSuspect)));
            onNotRun(run);
        }

        private void onEvidence(String fingerprint, String incarnation, boolean isSingleSuspect) {
            ledger.onTargetDeath(fingerprint, incarnation, isSingleSuspect, fleet.nowMs);
            running.stream()
                    .filter(run -> run.call().fingerprint.equals(fingerprint))
                    .filter(run -> !run.call().isSuspect)
                    .toList()
                    .forEach(run -> fleet.after(0, () -> requeue(run)));
        }

        private void requeue(Run run) {
            int target = run.call().target;
            if (release(run)) {
                fleet.send("s" + turn + target, () -> fleet.targets.get(target).cancel(run));
                fleet.after(RETRY_MS, () -> startNextAttempt(run.call()));
            }
        }

        private boolean release(Run run) {
            if (!running.remove(run)) {
                return false;
            }
            String target = Integer.toString(run.call().target);
            duplicates.remove(run.call().fingerprint, target);
            if (run.call().isSuspect) {
                ledger.endTrial(run.call().fingerprint, target);
            }
            return true;
        }
    }
}
