package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * The shipped decision classes: shares and loans. Steps are made when they are due, or every {@link
 * #TICK} where {@link #probing}, which fails where one did something before it was due.
 */
final class ShareFleet implements SimulatedFleet {
    private static final long TICK = 10 * Simulation.MS;

    private final Simulation world;
    private final LimitBounds bounds;
    private final Map<String, TeamPlan> plans;
    private final Map<String, Node> nodes = new HashMap<>();
    private long version;
    private Shares shares = Shares.initial();
    private long previousVersion;
    private Shares previous = Shares.initial();
    private int lives;
    private boolean probing;

    ShareFleet(Simulation world, LimitBounds bounds, Map<String, TeamPlan> plans) {
        this.world = world;
        this.bounds = bounds;
        this.plans = plans;
    }

    /** Has each entry make a step every {@link #TICK}, and checks that none was needed earlier. */
    ShareFleet probing() {
        probing = true;
        return this;
    }

    @Override
    public void start(String name) {
        Node node = new Node(name, lives++);
        nodes.put(name, node);
        world.scheduleEvery(name, TICK, node::look);
        world.scheduleEvery(name, Simulation.SECOND, node::readList);
        world.scheduleEvery(name, Simulation.SECOND / 2, node::gossip);
    }

    @Override
    public void request(String node, TeamPlan team, Consumer<Admission> answer) {
        nodes.get(node).request(team, answer);
    }

    /** Tokens of a team that could be spent anywhere now, frozen instances included. */
    double tokens(String team) {
        return nodes.values().stream()
                .mapToDouble(node -> node.limit.available(team, world.now()))
                .sum();
    }

    long units(String node) {
        return nodes.get(node).limit.ledger().usableUnits();
    }

    long poolUnits() {
        return shares.pool();
    }

    private final class Node implements LimitActions {
        private final String name;
        private final FleetLimit limit;
        private final Map<Long, Consumer<Admission>> waiting = new HashMap<>();
        private Set<String> connected = Set.of();
        private long platformAt = Long.MIN_VALUE / 2;
        private long tickets;
        private long timerAt = Long.MAX_VALUE;
        private int sent;

        Node(String name, int life) {
            this.name = name;
            this.limit =
                    FleetLimit.create(
                            new MemberId(name, "i" + life),
                            bounds,
                            new SplittableRandom(world.random.nextLong()));
        }

        boolean isCurrent() {
            return nodes.get(name) == this;
        }

        /** Notices changes of the connections, and probes where that is wanted. */
        void look() {
            if (!isCurrent()) {
                return;
            }
            Set<String> peers = new HashSet<>(world.up());
            peers.removeIf(world::isFrozen);
            peers.remove(name);
            if (!peers.equals(connected)) {
                connected = peers;
                limit.onConnected(peers);
            }
            if (probing) {
                probe();
            }
            arrange();
        }

        private void probe() {
            boolean due = limit.nextTickAt(world.now()) <= world.now();
            int sentBefore = sent;
            long unitsBefore = limit.ledger().usableUnits();
            limit.tick(world.now(), this);
            boolean idle = sent == sentBefore && limit.ledger().usableUnits() == unitsBefore;
            assertTrue(due || idle, () -> name + " had to do something that was not due");
        }

        private void arrange() {
            long due = Math.max(world.now(), limit.nextTickAt(world.now()));
            if (due < timerAt && !probing) {
                timerAt = due;
                world.scheduleAtNode(due, name, () -> onTimer(due));
            }
        }

        private void onTimer(long due) {
            if (due == timerAt && isCurrent()) {
                timerAt = Long.MAX_VALUE;
                limit.tick(world.now(), this);
                arrange();
            }
        }

        void readList() {
            if (isCurrent()) {
                world.callPlatform(name, world::listed, this::onList, () -> {});
            }
        }

        private void onList(Set<String> list) {
            platformAt = world.now();
            limit.ledger().onListed(list, world.now());
            arrange();
        }

        void gossip() {
            if (!isCurrent()) {
                return;
            }
            long age = world.now() - platformAt;
            connected.forEach(
                    peer ->
                            to(
                                    peer,
                                    other ->
                                            other.limit
                                                    .ledger()
                                                    .onPeerReport(name, age, world.now())));
        }

        void request(TeamPlan team, Consumer<Admission> answer) {
            long now = world.now();
            if (limit.tryAdmit(team, now)) {
                answer.accept(new Admission.Admitted());
                arrange();
                return;
            }
            waiting.put(++tickets, answer);
            limit.admit(team, tickets, now, this);
            arrange();
        }

        @Override
        public void answer(long ticket, Admission admission) {
            sent++;
            waiting.remove(ticket).accept(admission);
        }

        @Override
        public void borrow(String peer, long exchange, String team, double tokens) {
            sent++;
            TeamPlan plan = plans.get(team);
            to(
                    peer,
                    other ->
                            other.limit.onBorrow(name, exchange, plan, tokens, world.now(), other));
        }

        @Override
        public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {
            sent++;
            to(
                    peer,
                    other ->
                            other.limit.onLend(
                                    name, exchange, team, tokens, ttlMs, world.now(), other));
        }

        @Override
        public void callPlatform(ShareCall call) {
            sent++;
            ShareLedger ledger = limit.ledger();
            long number = call.number();
            if (call instanceof ShareCall.Write write) {
                world.callPlatform(
                        name,
                        () -> apply(write),
                        written -> {
                            if (written == 0) {
                                ledger.onFailed(number, world.now());
                            } else {
                                ledger.onWritten(number, written, world.now());
                            }
                            arrange();
                        },
                        () -> onFailed(number));
            } else {
                boolean stale = world.random.nextDouble() < world.staleReads;
                world.callPlatform(
                        name,
                        () ->
                                stale
                                        ? new Read(previousVersion, previous)
                                        : new Read(version, shares),
                        read -> {
                            ledger.onRead(number, read.version, read.shares, world.now());
                            arrange();
                        },
                        () -> onFailed(number));
            }
        }

        private void onFailed(long call) {
            limit.ledger().onFailed(call, world.now());
            arrange();
        }

        private void to(String peer, Consumer<Node> action) {
            world.sendMessage(
                    peer,
                    () -> {
                        action.accept(nodes.get(peer));
                        nodes.get(peer).arrange();
                    });
        }
    }

    private long apply(ShareCall.Write write) {
        if (write.expectedVersion() != version) {
            return 0;
        }
        previousVersion = version;
        previous = shares;
        shares = write.shares();
        return ++version;
    }

    private record Read(long version, Shares shares) {}
}
