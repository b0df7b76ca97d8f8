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

/** Limits of several entries over a shared object, in virtual time; a message takes one step. */
final class LimitFleet {
    static final long STEP_NANOS = 1_000_000;
    private static final int SETTLE_STEPS = 60_000;
    private static final int TICK_STEPS = 10;

    private final List<FleetLimit> entries = new ArrayList<>();
    private final TeamPlan borrowedPlan;
    private Queue<Runnable> mail = new ArrayDeque<>();
    private Shares shares = Shares.initial();
    private long version;
    private long now = 1;
    private long steps;
    private long messages;
    private int admitted;
    private int refused;

    private LimitFleet(int size, TeamPlan borrowedPlan) {
        this.borrowedPlan = borrowedPlan;
        for (int index = 0; index < size; index++) {
            MemberId self = new MemberId(name(index), "life-" + index);
            entries.add(FleetLimit.create(self, LimitBounds.defaults(), new Random(index)));
        }
    }

    /** Starts entries and lets them divide the shares. */
    static LimitFleet settled(int size, TeamPlan plan) {
        LimitFleet fleet = new LimitFleet(size, plan);
        Set<String> names =
                IntStream.range(0, size).mapToObj(LimitFleet::name).collect(Collectors.toSet());
        for (FleetLimit entry : fleet.entries) {
            Set<String> peers = new HashSet<>(names);
            peers.remove(entry.self().instance());
            entry.onConnected(peers);
            entry.ledger().onListed(names, fleet.now);
        }
        fleet.run(SETTLE_STEPS);
        fleet.messages = 0;
        return fleet;
    }

    /** Lets time pass. */
    void run(int count) {
        for (int step = 0; step < count; step++) {
            step();
        }
    }

    /** One request comes to one entry. */
    void request(int index) {
        FleetLimit entry = entries.get(index);
        if (entry.tryAdmit(borrowedPlan, now)) {
            admitted++;
        } else {
            entry.admit(borrowedPlan, steps, now, new Actions(index));
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

    private void step() {
        now += STEP_NANOS;
        steps++;
        Queue<Runnable> due = mail;
        mail = new ArrayDeque<>();
        due.forEach(Runnable::run);
        if (steps % TICK_STEPS == 0) {
            for (int index = 0; index < entries.size(); index++) {
                entries.get(index).tick(now, new Actions(index));
                reach(index);
            }
        }
    }

    /** Tells an entry that its peers and the list are there. */
    private void reach(int index) {
        entries.forEach(
                peer -> entries.get(index).ledger().onPeerReport(peer.self().instance(), 0, now));
    }

    private static String name(int index) {
        return "entry-" + index;
    }

    private static int index(String name) {
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
            int to = index(peer);
            mail.add(
                    () ->
                            entries.get(to)
                                    .onBorrow(
                                            name(index),
                                            exchange,
                                            borrowedPlan,
                                            tokens,
                                            now,
                                            new Actions(to)));
        }

        @Override
        public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {
            messages++;
            int to = index(peer);
            mail.add(
                    () ->
                            entries.get(to)
                                    .onLend(
                                            name(index),
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
                mail.add(() -> write(caller, write));
            } else {
                mail.add(() -> caller.ledger().onRead(call.number(), version, shares, now));
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
