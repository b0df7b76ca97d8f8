package org.sardinelift.core.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.sardinelift.core.batch.Holder;

/**
 * Simulation of controllers, targets with their companions, and a platform in virtual time.
 * Controllers pause, restart and lose connections; calls to the platform fail or lose their
 * answers; orders arrive late.
 */
final class RolloutSimulation {
    static final String MODEL = "notices";
    static final OrderBounds BOUNDS =
            new OrderBounds(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(10),
                    2,
                    60,
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(60),
                    100);
    private static final long STEP_MS = 100;

    final Random random;
    final double least;
    final List<Target> targets;
    final List<Controller> controllers = new ArrayList<>();
    final List<Long> loadStarts = new ArrayList<>();
    LeaseRecord lease = LeaseRecord.NONE;
    long leaseVersion;
    Optional<RolloutState> stored = Optional.empty();
    Optional<RolloutState> storedBefore = Optional.empty();
    long storedVersion;
    RolloutSpec spec;
    boolean hasFaults;
    long nowMs;
    private long sequence;
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    RolloutSimulation(long seed, int targetCount, int controllerCount, double least) {
        this.random = new Random(seed);
        this.least = least;
        this.spec =
                new RolloutSpec("r", "one", 1, "s", RolloutGoal.version(MODEL, "2"), least, false);
        targets = IntStream.range(0, targetCount).mapToObj(i -> new Target("t" + i)).toList();
        IntStream.range(0, controllerCount).forEach(i -> controllers.add(new Controller("e" + i)));
    }

    void run(long ms) {
        for (long end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            controllers.forEach(Controller::tick);
            long serving = targets.stream().filter(Target::isServing).count();
            assertTrue(serving >= spec.minServing(targets.size()), () -> serving + " serve");
        }
    }

    /** Stops the roll-out as an operator does. */
    void stop() {
        spec = new RolloutSpec(spec.name(), spec.id(), 2, spec.service(), spec.goal(), least, true);
    }

    /** Pauses or restarts a controller, cuts its connections, or lets some time pass. */
    void injectFault() {
        Controller controller = controllers.get(random.nextInt(controllers.size()));
        switch (random.nextInt(4)) {
            case 0 -> controller.pausedUntilMs = nowMs + random.nextInt(30_000);
            case 1 -> controller.restart();
            case 2 -> controller.cutConnections(targets.get(random.nextInt(targets.size())));
            default -> run(random.nextInt(5_000));
        }
    }

    boolean hasEnded() {
        return stored.filter(state -> state.spec().id().equals(spec.id()))
                .filter(state -> state.phase().isTerminal())
                .isPresent();
    }

    private void later(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    private long delay() {
        return hasFaults && random.nextInt(20) == 0 ? random.nextInt(40_000) : random.nextInt(300);
    }

    private boolean failsAtRandom() {
        return hasFaults && random.nextInt(8) == 0;
    }

    /**
     * A target with its companion, which keeps the highest order number seen and executes orders
     * one after another.
     */
    final class Target {
        final String name;
        String version = "1";
        boolean isFailing;
        boolean isHanging;
        long highest;
        private final List<Runnable> queue = new ArrayList<>();
        private boolean isChanging;

        Target(String name) {
            this.name = name;
        }

        boolean isServing() {
            return !isChanging;
        }

        TargetView view() {
            Set<String> models = isChanging ? Set.of() : Set.of(MODEL);
            return new TargetView(name, "s", true, models, Map.of(MODEL, version), "");
        }

        void receive(TargetOrder order, long number, Controller from, int connection) {
            queue.add(() -> begin(order, number, from, connection));
            next();
        }

        private void next() {
            if (!isChanging && !queue.isEmpty()) {
                queue.remove(0).run();
            }
        }

        private void begin(TargetOrder order, long number, Controller from, int connection) {
            if (number < highest) {
                answer(from, connection, number, false, false);
                next();
                return;
            }
            highest = number;
            isChanging = true;
            boolean willFail = isFailing && order.version().equals("2");
            boolean willHang = isHanging && order.version().equals("2");
            later(
                    willHang ? 35_000 : 200 + random.nextInt(3_000),
                    () -> {
                        version = willFail ? version : order.version();
                        isChanging = false;
                        answer(from, connection, number, !willFail, true);
                        next();
                    });
        }

        private void answer(
                Controller to, int connection, long number, boolean accepted, boolean passedOn) {
            long seen = highest;
            later(
                    random.nextInt(200),
                    () -> to.onResult(this, connection, number, accepted, passedOn, seen));
        }
    }

    /** The controller of one entry. */
    final class Controller {
        final String name;
        private int incarnation;
        private int connection;
        private ControllerLease own;
        private RolloutPlanner planner;
        private long nextPollMs;
        long pausedUntilMs;

        Controller(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            incarnation++;
            connection++;
            own = ControllerLease.of(new Holder(name, name + "." + incarnation), BOUNDS);
            planner = null;
        }

        void cutConnections(Target target) {
            connection++;
            if (planner != null) {
                targets.forEach(
                        each ->
                                planner.rollouts()
                                        .values()
                                        .forEach(
                                                rollout ->
                                                        rollout.onConnectionLost(
                                                                each.name, nanos())));
            }
        }

        private long nanos() {
            return Duration.ofMillis(nowMs).toNanos();
        }

        void tick() {
            if (nowMs < pausedUntilMs) {
                return;
            }
            if (nowMs >= nextPollMs) {
                nextPollMs = nowMs + BOUNDS.pollInterval().toMillis();
                renew();
            }
            if (own.isValid(nanos())) {
                work();
            }
        }

        private void renew() {
            if (failsAtRandom()) {
                own.onUnavailable();
                return;
            }
            long version = leaseVersion;
            long sent = nanos();
            own.onRead(lease, leaseVersion, nanos())
                    .ifPresent(
                            next -> {
                                boolean isAnswerLost = failsAtRandom();
                                if (version == leaseVersion && !failsAtRandom()) {
                                    lease = next;
                                    leaseVersion++;
                                    if (!isAnswerLost) {
                                        own.onWritten(next, sent);
                                    }
                                }
                            });
        }

        private void work() {
            if (planner == null || planner.fence() != own.fence()) {
                boolean isStale = failsAtRandom();
                Optional<RolloutState> read = isStale ? storedBefore : stored;
                readVersion = isStale ? storedVersion - 1 : storedVersion;
                planner = RolloutPlanner.of(own.fence(), BOUNDS, read.stream().toList(), nanos());
            }
            List<TargetView> fleet = targets.stream().map(Target::view).toList();
            planner.plan(List.of(spec), fleet, nanos());
            for (Rollout rollout : planner.rollouts().values()) {
                if (rollout.isDirty() && !write(rollout)) {
                    planner = null;
                    return;
                }
                rollout.dueOrders(nanos()).forEach(order -> send(rollout, order));
            }
        }

        private long readVersion;

        private boolean write(Rollout rollout) {
            if (readVersion != storedVersion || failsAtRandom()) {
                return false;
            }
            storedBefore = stored;
            stored = Optional.of(rollout.state());
            readVersion = ++storedVersion;
            if (failsAtRandom()) {
                return false;
            }
            rollout.onWritten();
            return true;
        }

        private void send(Rollout rollout, TargetOrder order) {
            OptionalLong number = own.nextNumber(nanos());
            if (number.isEmpty()) {
                return;
            }
            assertEquals(lease.fence(), ControllerLease.fenceOf(number.getAsLong()));
            if (order.action().usesWeightStore()) {
                loadStarts.add(nowMs);
            }
            Target target =
                    targets.stream().filter(t -> t.name.equals(order.target())).findFirst().get();
            rollout.onSent(order.target(), number.getAsLong(), nanos());
            int sentOn = connection;
            later(delay(), () -> target.receive(order, number.getAsLong(), this, sentOn));
        }

        void onResult(
                Target from,
                int sentOn,
                long number,
                boolean accepted,
                boolean passedOn,
                long highest) {
            if (sentOn != connection || nowMs < pausedUntilMs || planner == null) {
                return;
            }
            if (!accepted && highest > number) {
                if (ControllerLease.fenceOf(highest) > own.fence()) {
                    own.onHigherNumber(highest);
                }
                return;
            }
            planner.rollouts()
                    .values()
                    .forEach(
                            rollout ->
                                    rollout.onResult(
                                            number, accepted, passedOn, "refused", nanos()));
        }
    }
}
