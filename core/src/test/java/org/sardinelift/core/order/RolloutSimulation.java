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

/** Controllers, targets with their companions, and a platform, in virtual time. */
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
    boolean faulty;
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
            long serving = targets.stream().filter(Target::serves).count();
            assertTrue(serving >= spec.minServing(targets.size()), () -> serving + " serve");
        }
    }

    /** The operator stops the roll-out. */
    void stop() {
        spec = new RolloutSpec(spec.name(), spec.id(), 2, spec.service(), spec.goal(), least, true);
    }

    /** Some event of the unlucky kind. */
    void injectFault() {
        Controller controller = controllers.get(random.nextInt(controllers.size()));
        switch (random.nextInt(4)) {
            case 0 -> controller.pausedUntilMs = nowMs + random.nextInt(30_000);
            case 1 -> controller.restart();
            case 2 -> controller.cut(targets.get(random.nextInt(targets.size())));
            default -> run(random.nextInt(5_000));
        }
    }

    boolean ended() {
        return stored.filter(state -> state.spec().id().equals(spec.id()))
                .filter(state -> state.phase().isTerminal())
                .isPresent();
    }

    private void later(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    private long delay() {
        return faulty && random.nextInt(20) == 0 ? random.nextInt(40_000) : random.nextInt(300);
    }

    private boolean failsAtRandom() {
        return faulty && random.nextInt(8) == 0;
    }

    /**
     * A target behind a companion that keeps the highest number, and carries orders out in turn.
     */
    final class Target {
        final String name;
        String version = "1";
        boolean failing;
        boolean hanging;
        long highest;
        private final List<Runnable> queue = new ArrayList<>();
        private boolean changing;

        Target(String name) {
            this.name = name;
        }

        boolean serves() {
            return !changing;
        }

        TargetView view() {
            Set<String> models = changing ? Set.of() : Set.of(MODEL);
            return new TargetView(name, "s", true, models, Map.of(MODEL, version), "");
        }

        void receive(TargetOrder order, long number, Controller from, int connection) {
            queue.add(() -> begin(order, number, from, connection));
            next();
        }

        private void next() {
            if (!changing && !queue.isEmpty()) {
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
            changing = true;
            boolean fails = failing && order.version().equals("2");
            boolean hangs = hanging && order.version().equals("2");
            later(
                    hangs ? 35_000 : 200 + random.nextInt(3_000),
                    () -> {
                        version = fails ? version : order.version();
                        changing = false;
                        answer(from, connection, number, !fails, true);
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

    /** One entry's controller, as the driver runs it. */
    final class Controller {
        final String name;
        private int life;
        private int connection;
        private ControllerLease own;
        private RolloutPlanner board;
        private long nextLookMs;
        long pausedUntilMs;

        Controller(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            life++;
            connection++;
            own = ControllerLease.of(new Holder(name, name + "." + life), BOUNDS);
            board = null;
        }

        void cut(Target target) {
            connection++;
            if (board != null) {
                targets.forEach(
                        each ->
                                board.rollouts()
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
            if (nowMs >= nextLookMs) {
                nextLookMs = nowMs + BOUNDS.pollInterval().toMillis();
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
                                boolean lost = failsAtRandom();
                                if (version == leaseVersion && !failsAtRandom()) {
                                    lease = next;
                                    leaseVersion++;
                                    if (!lost) {
                                        own.onWritten(next, sent);
                                    }
                                }
                            });
        }

        private void work() {
            if (board == null || board.fence() != own.fence()) {
                boolean stale = failsAtRandom();
                Optional<RolloutState> read = stale ? storedBefore : stored;
                readVersion = stale ? storedVersion - 1 : storedVersion;
                board = RolloutPlanner.of(own.fence(), BOUNDS, read.stream().toList(), nanos());
            }
            List<TargetView> fleet = targets.stream().map(Target::view).toList();
            board.plan(List.of(spec), fleet, nanos());
            for (Rollout rollout : board.rollouts().values()) {
                if (rollout.isDirty() && !write(rollout)) {
                    board = null;
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
            int on = connection;
            later(delay(), () -> target.receive(order, number.getAsLong(), this, on));
        }

        void onResult(
                Target from,
                int on,
                long number,
                boolean accepted,
                boolean passedOn,
                long highest) {
            if (on != connection || nowMs < pausedUntilMs || board == null) {
                return;
            }
            if (!accepted && highest > number) {
                if (ControllerLease.fenceOf(highest) > own.fence()) {
                    own.onHigherNumber(highest);
                }
                return;
            }
            board.rollouts()
                    .values()
                    .forEach(
                            rollout ->
                                    rollout.onResult(
                                            number, accepted, passedOn, "refused", nanos()));
        }
    }
}
