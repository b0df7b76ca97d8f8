package org.sardinelift.bench.slope;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.FleetLimit;
import org.sardinelift.core.limit.LimitActions;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.ShareCall;
import org.sardinelift.core.limit.Shares;

/**
 * Simulates the rate limiters of several entries with a shared object in virtual time. A message
 * arrives after one step.
 */
final class LimitSimulation {
    static final long STEP_NANOS = 1_000_000;
    private static final int SETTLE_STEPS = 60_000;
    private static final int TICK_STEPS = 10;

    private final List<FleetLimit> entries = new ArrayList<>();
    private final TeamPlan plan;
    private Queue<Runnable> pendingMessages = new ArrayDeque<>();
    private Shares shares = Shares.initial();
    private long version;
    private long now = 1;
    private long steps;
    private long messages;
    private int admitted;
    private int refused;

    private LimitSimulation(int size, TeamPlan plan) {
        this.plan = plan;
        for (int index = 0; index < size; index++) {
            MemberId self = new MemberId(entryName(index), "life-" + index);
            entries.add(FleetLimit.create(self, LimitBounds.defaults(), new Random(index)));
        }
    }

    /** Starts entries and runs until they have divided the shares. */
    static LimitSimulation startSettled(int size, TeamPlan plan) {
        LimitSimulation simulation = new LimitSimulation(size, plan);
        Set<String> names =
                IntStream.range(0, size)
                        .mapToObj(LimitSimulation::entryName)
                        .collect(Collectors.toSet());
        for (FleetLimit entry : simulation.entries) {
            Set<String> peers = new HashSet<>(names);
            peers.remove(entry.self().instance());
            entry.onConnected(peers);
            entry.ledger().onListed(names, simulation.now);
        }
        simulation.runSteps(SETTLE_STEPS);
        simulation.messages = 0;
        return simulation;
    }

    /** Advances virtual time by a number of steps. */
    void runSteps(int count) {
        for (int step = 0; step < count; step++) {
            advance();
        }
    }

    /** Sends one request to an entry. */
    void sendRequest(int index) {
        FleetLimit entry = entries.get(index);
        if (entry.tryAdmit(plan, now)) {
            admitted++;
        } else {
            entry.admit(plan, steps, now, new Actions(index));
        }
    }

    FleetLimit entry(int index) {
        return entries.get(index);
    }

    long now() {
        return now;
    }

    Shares shares() {
        return shares;
    }

    long messages() {
        return messages;
    }

    int admitted() {
        return admitted;
    }

    int refused() {
        return refused;
    }

    private void advance() {
        now += STEP_NANOS;
        steps++;
        Queue<Runnable> due = pendingMessages;
        pendingMessages = new ArrayDeque<>();
        due.forEach(Runnable::run);
        if (steps % TICK_STEPS == 0) {
            for (int index = 0; index < entries.size(); index++) {
                entries.get(index).tick(now, new Actions(index));
                reportPeers(index);
            }
        }
    }

    /** Reports to an entry that its peers and the list of instances are available. */
    private void reportPeers(int index) {
        entries.forEach(
                peer -> entries.get(index).ledger().onPeerReport(peer.self().instance(), 0, now));
    }

    private static String entryName(int index) {
        return "entry-" + index;
    }

    private static int entryIndex(String name) {
        return Integer.parseInt(name.substring(name.indexOf('-') + 1));
    }

    private final class Actions implements LimitActions {
        private final int index;

        Actions(int index) {
            this.index = index;
        }

        @Override
        public void answer(long ticket, Admission admission) {
            if (admission instanceof Admission.Admitted) {
                admitted++;
            } else {
                refused++;
            }
        }

        @Override
        public void borrow(String peer, long exchange, String team, double tokens) {
            messages++;
            int to = entryIndex(peer);
            pendingMessages.add(
                    () ->
                            entries.get(to)
                                    .onBorrow(
                                            entryName(index),
                                            exchange,
                                            plan,
                                            tokens,
                                            now,
                                            new Actions(to)));
        }

        @Override
        public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {
            messages++;
            int to = entryIndex(peer);
            pendingMessages.add(
                    () ->
                            entries.get(to)
                                    .onLend(
                                            entryName(index),
                                            exchange,
                                            team,
                                            tokens,
                                            ttlMs,
                                            now,
                                            new Actions(to)));
        }

        @Override
        public void callPlatform(ShareCall call) {
            FleetLimit caller = entries.get(index);
            if (call instanceof ShareCall.Write write) {
                pendingMessages.add(() -> write(caller, write));
            } else {
                pendingMessages.add(
                        () -> caller.ledger().onRead(call.number(), version, shares, now));
            }
        }

        private void write(FleetLimit caller, ShareCall.Write write) {
            if (write.expectedVersion() == version) {
                shares = write.shares();
                version++;
                caller.ledger().onWritten(write.number(), version, now);
            } else {
                caller.ledger().onFailed(write.number(), now);
            }
        }
    }
}
