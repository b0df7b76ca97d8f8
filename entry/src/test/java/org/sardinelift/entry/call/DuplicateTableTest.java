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

class DuplicateTableTest {
    private static final String POISON = "poison";
    private static final int ENTRIES = 2;
    private static final int TARGETS = 4;
    private static final int COPIES = 10;
    private static final int DEAD_MS = 100;
    private static final int FRAME_MS = 20;

    /** A start under way, its answer, and evidence of it, after evidence of another death. */
    private static final int SETTLE_MS = 4 * FRAME_MS + 1;

    private static final int RETRY_MS = 2;
    private static final int RUN_MS = 20;
    private static final int LIMIT_MS = 100_000;

    /** Evidence and reports of targets come late, and in any order towards the answers. */
    @Property(seed = "54", tries = 500)
    void copiesThroughTwoEntriesKillAtMostTwoTargets(@ForAll Random random) {
        Fleet fleet = new Fleet(random);
        fleet.run();
        assertEquals(ENTRIES * COPIES, fleet.completed, "innocent requests completed");
        assertEquals(ENTRIES * COPIES, fleet.refused, "copies refused");
        assertTrue(fleet.deaths <= 2, fleet.deaths + " targets died");
    }

    @Example
    void aCopyIsHeldWhileOthersAreOnATargetThatTakesNoMore() {
        DuplicateTable copies = new DuplicateTable();
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                copies.findPlacement("f", name -> true, true));
        copies.add("f", "c1");
        assertEquals(
                new DuplicateTable.Placement.Pinned("c1"),
                copies.findPlacement("f", name -> true, true));
        assertEquals(
                new DuplicateTable.Placement.Blocked(),
                copies.findPlacement("f", name -> false, true));
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                copies.findPlacement("f", name -> false, false));
        copies.remove("f", "c1");
        assertEquals(
                new DuplicateTable.Placement.Unpinned(),
                copies.findPlacement("f", name -> false, true));
    }

    /** Something that happens at a time, milliseconds; ties keep their order. */
    private record Event(long atMs, long order, Runnable action) {}

    /** A call of one entry. */
    private static final class Call {
        final String fingerprint;
        final Set<Integer> tried = new HashSet<>();
        int target = -1;
        int attempt;
        boolean suspect;

        Call(String fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** A call on a target. */
    private record Run(Entry entry, Call call, int attempt) {}

    private static final class Fleet {
        final Random random;
        final List<Entry> entries = new ArrayList<>();
        final List<Target> targets = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
        private final Map<String, Long> lastByConnection = new HashMap<>();
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
                    Call poison = new Call(POISON);
                    Call good = new Call("good " + entry.turn + " " + copy);
                    after(random.nextInt(RUN_MS), () -> entry.next(poison));
                    after(random.nextInt(RUN_MS), () -> entry.next(good));
                }
            }
            while (!events.isEmpty() && nowMs < LIMIT_MS) {
                Event event = events.poll();
                nowMs = event.atMs();
                event.action().run();
            }
        }

        void after(long delayMs, Runnable action) {
            events.add(new Event(nowMs + delayMs, order++, action));
        }

        /** Frames of one connection keep their order. */
        void send(String connection, Runnable action) {
            long at = nowMs + 1 + random.nextInt(FRAME_MS);
            at = lastByConnection.merge(connection, at, Math::max);
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
            String life = name + "#" + ++fleet.deaths;
            deadUntilMs = fleet.nowMs + DEAD_MS;
            List<Run> lost = List.copyOf(inFlight);
            inFlight.clear();
            lost.forEach(run -> answer(run, () -> run.entry().onDied(run, life)));
            report(false);
            fleet.after(DEAD_MS, () -> report(true));
        }

        private void end(Run run) {
            if (inFlight.remove(run)) {
                answer(run, () -> run.entry().onWhole(run));
            }
        }

        private void report(boolean healthy) {
            for (Entry entry : fleet.entries) {
                fleet.send("r" + name + entry.turn, () -> entry.onReport(name, healthy));
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
                CrashLedger.of(new CrashBounds(LIMIT_MS, LIMIT_MS, SETTLE_MS, 1_000));
        private final DuplicateTable copies = new DuplicateTable();
        private final Set<Integer> unhealthy = new HashSet<>();
        private final List<Run> running = new ArrayList<>();

        Entry(Fleet fleet, int turn) {
            this.fleet = fleet;
            this.turn = turn;
        }

        void next(Call call) {
            CrashVerdict standing = ledger.verdict(call.fingerprint, fleet.nowMs);
            if (standing == CrashVerdict.REFUSED) {
                fleet.refused++;
                return;
            }
            call.suspect = standing == CrashVerdict.SUSPECT;
            if (!start(call)) {
                fleet.after(RETRY_MS, () -> next(call));
            }
        }

        private boolean start(Call call) {
            DuplicateTable.Placement place =
                    copies.findPlacement(
                            call.fingerprint, name -> usable(call, Integer.parseInt(name)), true);
            if (place instanceof DuplicateTable.Placement.Blocked) {
                return false;
            }
            int target =
                    place instanceof DuplicateTable.Placement.Pinned with
                            ? Integer.parseInt(with.companion())
                            : route(call);
            if (target < 0 || call.suspect && !tryTrial(call, target)) {
                return false;
            }
            copies.add(call.fingerprint, Integer.toString(target));
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
                            .filter(name -> usable(call, name))
                            .findFirst()
                            .orElse(-1);
            if (target < 0) {
                call.tried.clear();
            }
            return target;
        }

        private boolean usable(Call call, int target) {
            return !unhealthy.contains(target) && !call.tried.contains(target);
        }

        void onReport(int target, boolean healthy) {
            if (healthy) {
                unhealthy.remove(target);
            } else {
                unhealthy.add(target);
            }
        }

        void onWhole(Run run) {
            if (release(run)) {
                ledger.onCompleted(run.call().fingerprint);
                fleet.completed++;
            }
        }

        void onNotRun(Run run) {
            if (release(run)) {
                run.call().tried.add(run.call().target);
                fleet.after(fleet.random.nextInt(FRAME_MS), () -> next(run.call()));
            }
        }

        void onDied(Run run, String life) {
            String fingerprint = run.call().fingerprint;
            boolean alone = run.call().suspect;
            onEvidence(fingerprint, life, alone);
            fleet.entries.stream()
                    .filter(entry -> entry != this)
                    .forEach(
                            peer ->
                                    fleet.send(
                                            "e" + turn + peer.turn,
                                            () -> peer.onEvidence(fingerprint, life, alone)));
            onNotRun(run);
        }

        private void onEvidence(String fingerprint, String life, boolean alone) {
            ledger.onTargetDeath(fingerprint, life, alone, fleet.nowMs);
            running.stream()
                    .filter(run -> run.call().fingerprint.equals(fingerprint))
                    .filter(run -> !run.call().suspect)
                    .toList()
                    .forEach(run -> fleet.after(0, () -> takeBack(run)));
        }

        private void takeBack(Run run) {
            int target = run.call().target;
            if (release(run)) {
                fleet.send("s" + turn + target, () -> fleet.targets.get(target).cancel(run));
                fleet.after(RETRY_MS, () -> next(run.call()));
            }
        }

        private boolean release(Run run) {
            if (!running.remove(run)) {
                return false;
            }
            String target = Integer.toString(run.call().target);
            copies.remove(run.call().fingerprint, target);
            if (run.call().suspect) {
                ledger.endTrial(run.call().fingerprint, target);
            }
            return true;
        }
    }
}
