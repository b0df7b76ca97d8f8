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
 * Approach of the production classes: shares and loans. Entries tick when a tick is due, or every
 * {@link #TICK_INTERVAL} with {@link #withDueTimeCheck}, which fails if an entry does any work
 * before it is due.
 */
final class ShareFleet implements SimulatedFleet {
    private static final long TICK_INTERVAL = 10 * Simulation.MS;

    private final Simulation simulation;
    private final LimitBounds bounds;
    private final Map<String, TeamPlan> plans;
    private final Map<String, Node> nodes = new HashMap<>();
    private long version;
    private Shares shares = Shares.initial();
    private long previousVersion;
    private Shares previousShares = Shares.initial();
    private int incarnations;
    private boolean checksDueTimes;

    ShareFleet(Simulation simulation, LimitBounds bounds, Map<String, TeamPlan> plans) {
        this.simulation = simulation;
        this.bounds = bounds;
        this.plans = plans;
    }

    /**
     * Makes each entry tick every {@link #TICK_INTERVAL}, and checks that no tick does work before
     * it is due.
     */
    ShareFleet withDueTimeCheck() {
        checksDueTimes = true;
        return this;
    }

    @Override
    public void start(String name) {
        Node node = new Node(name, incarnations++);
        nodes.put(name, node);
        simulation.scheduleEvery(name, TICK_INTERVAL, node::updateConnections);
        simulation.scheduleEvery(name, Simulation.SECOND, node::readList);
        simulation.scheduleEvery(name, Simulation.SECOND / 2, node::reportToPeers);
    }

    @Override
    public void request(String node, TeamPlan team, Consumer<Admission> answer) {
        nodes.get(node).request(team, answer);
    }

    /** Tokens of a team that all entries could spend now, frozen ones included. */
    double tokens(String team) {
        return nodes.values().stream()
                .mapToDouble(node -> node.limit.available(team, simulation.now()))
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
        private final Map<Long, Consumer<Admission>> waitingRequests = new HashMap<>();
        private Set<String> connected = Set.of();
        private long platformAt = Long.MIN_VALUE / 2;
        private long lastRequestId;
        private long timerAt = Long.MAX_VALUE;
        private int actionCount;

        Node(String name, int incarnation) {
            this.name = name;
            this.limit =
                    FleetLimit.create(
                            new MemberId(name, "i" + incarnation),
                            bounds,
                            new SplittableRandom(simulation.random.nextLong()));
        }

        boolean isCurrent() {
            return nodes.get(name) == this;
        }

        /** Updates the set of connected peers, and checks due times if enabled. */
        void updateConnections() {
            if (!isCurrent()) {
                return;
            }
            Set<String> peers = new HashSet<>(simulation.runningNodes());
            peers.removeIf(simulation::isFrozen);
            peers.remove(name);
            if (!peers.equals(connected)) {
                connected = peers;
                limit.onConnected(peers);
            }
            if (checksDueTimes) {
                tickAndCheckDueTime();
            }
            scheduleTick();
        }

        private void tickAndCheckDueTime() {
            boolean isDue = limit.nextTickAt(simulation.now()) <= simulation.now();
            int actionsBefore = actionCount;
            long unitsBefore = limit.ledger().usableUnits();
            limit.tick(simulation.now(), this);
            boolean isIdle =
                    actionCount == actionsBefore && limit.ledger().usableUnits() == unitsBefore;
            assertTrue(isDue || isIdle, () -> name + " did work that was not due");
        }

        private void scheduleTick() {
            long dueAt = Math.max(simulation.now(), limit.nextTickAt(simulation.now()));
            if (dueAt < timerAt && !checksDueTimes) {
                timerAt = dueAt;
                simulation.scheduleAtNode(dueAt, name, () -> onTimer(dueAt));
            }
        }

        private void onTimer(long dueAt) {
            if (dueAt == timerAt && isCurrent()) {
                timerAt = Long.MAX_VALUE;
                limit.tick(simulation.now(), this);
                scheduleTick();
            }
        }

        void readList() {
            if (isCurrent()) {
                simulation.callPlatform(name, simulation::listed, this::onList, () -> {});
            }
        }

        private void onList(Set<String> list) {
            platformAt = simulation.now();
            limit.ledger().onListed(list, simulation.now());
            scheduleTick();
        }

        void reportToPeers() {
            if (!isCurrent()) {
                return;
            }
            long age = simulation.now() - platformAt;
            connected.forEach(
                    peer ->
                            sendTo(
                                    peer,
                                    other ->
                                            other.limit
                                                    .ledger()
                                                    .onPeerReport(name, age, simulation.now())));
        }

        void request(TeamPlan team, Consumer<Admission> answer) {
            long now = simulation.now();
            if (limit.tryAdmit(team, now)) {
                answer.accept(new Admission.Admitted());
                scheduleTick();
                return;
            }
            waitingRequests.put(++lastRequestId, answer);
            limit.admit(team, lastRequestId, now, this);
            scheduleTick();
        }

        @Override
        public void answer(long requestId, Admission admission) {
            actionCount++;
            waitingRequests.remove(requestId).accept(admission);
        }

        @Override
        public void borrow(String peer, long loanId, String team, double tokens) {
            actionCount++;
            TeamPlan plan = plans.get(team);
            sendTo(
                    peer,
                    other ->
                            other.limit.onBorrow(
                                    name, loanId, plan, tokens, simulation.now(), other));
        }

        @Override
        public void lend(String peer, long loanId, String team, double tokens, long ttlMs) {
            actionCount++;
            sendTo(
                    peer,
                    other ->
                            other.limit.onLend(
                                    name, loanId, team, tokens, ttlMs, simulation.now(), other));
        }

        @Override
        public void callPlatform(ShareCall call) {
            actionCount++;
            ShareLedger ledger = limit.ledger();
            long number = call.number();
            if (call instanceof ShareCall.Write write) {
                simulation.callPlatform(
                        name,
                        () -> apply(write),
                        written -> {
                            if (written == 0) {
                                ledger.onFailed(number, simulation.now());
                            } else {
                                ledger.onWritten(number, written, simulation.now());
                            }
                            scheduleTick();
                        },
                        () -> onFailed(number));
            } else {
                boolean isStale = simulation.random.nextDouble() < simulation.staleReads;
                simulation.callPlatform(
                        name,
                        () ->
                                isStale
                                        ? new Read(previousVersion, previousShares)
                                        : new Read(version, shares),
                        read -> {
                            ledger.onRead(number, read.version, read.shares, simulation.now());
                            scheduleTick();
                        },
                        () -> onFailed(number));
            }
        }

        private void onFailed(long call) {
            limit.ledger().onFailed(call, simulation.now());
            scheduleTick();
        }

        private void sendTo(String peer, Consumer<Node> action) {
            simulation.sendMessage(
                    peer,
                    () -> {
                        action.accept(nodes.get(peer));
                        nodes.get(peer).scheduleTick();
                    });
        }
    }

    private long apply(ShareCall.Write write) {
        if (write.expectedVersion() != version) {
            return 0;
        }
        previousVersion = version;
        previousShares = shares;
        shares = write.shares();
        return ++version;
    }

    private record Read(long version, Shares shares) {}
}
