package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;

/**
 * Gateways and workers that share targets without a common queue, callers that honour Retry-After
 * and come back once, and batch jobs whose items can be cut and resumed. The choices are the
 * product's own code; only engines, network and callers are modelled.
 */
public final class LoadModel {
    static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    /** Time until an instance in the same zone knows of a call. */
    private static final long NEAR_REPORT = 3 * MILLI;

    /** The same for a slot that has come free. */
    private static final long NEAR_REPORT_OF_FREED = 13 * MILLI;

    /** Time until one in another zone does, by way of two relays that gather reports. */
    private static final long FAR_REPORT = 18 * MILLI;

    private static final Duration OBJECTIVE = Duration.ofMillis(300);
    private static final Duration DEADLINE = Duration.ofMillis(5_000);

    /** Callers leave a stream that doesn't begin. */
    private static final Duration PATIENCE = Duration.ofMillis(2_000);

    private static final Duration KEPT_FOR_RETURNERS = Duration.ofMillis(60);
    private static final long CALL_NANOS = 750 * MILLI;
    private static final long FIRST_NANOS = 45 * MILLI;
    private static final int RETURN_WITHIN_PART = 3;
    private static final double CALL_EVENTS = 32;
    private static final double ITEM_EVENTS = 219;
    private static final double SPREAD = 0.25;

    private final ModelSettings settings;
    private final ModelPolicy policy;
    private final ModelClock clock = new ModelClock();
    private final ModelResult result = new ModelResult();
    private final Random random;
    private final List<ModelTarget> targets = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<ModelWorker> workers = new ArrayList<>();
    private long turn;

    private LoadModel(ModelSettings settings, ModelPolicy policy) {
        this.settings = settings;
        this.policy = policy;
        this.random = new Random(settings.seed());
        for (int zone = 0; zone < settings.zones(); zone++) {
            String name = "z" + zone;
            IntStream.range(0, settings.targetsPerZone())
                    .forEach(
                            i ->
                                    targets.add(
                                            new ModelTarget(
                                                    name + "-t" + i,
                                                    name,
                                                    settings.slots(),
                                                    clock)));
            IntStream.range(0, settings.gatewaysPerZone())
                    .forEach(i -> gateways.add(new Gateway(name + "-g" + i, name)));
            workers.add(new ModelWorker(name + "-w", name, this));
        }
    }

    /**
     * Plays a load.
     *
     * @param settings the fleet and its load
     * @param policy how gateways choose
     * @return what callers got
     */
    public static ModelResult play(ModelSettings settings, ModelPolicy policy) {
        return new LoadModel(settings, policy).run();
    }

    private ModelResult run() {
        scheduleCalls();
        scheduleJobs();
        workers.forEach(ModelWorker::start);
        long end = settings.length().toNanos();
        clock.runUntil(end);
        long busy = targets.stream().mapToLong(target -> target.busyNanos(end)).sum();
        result.onLength((double) busy / end / settings.targets() / settings.slots());
        clock.runUntil(end + 30 * SECOND);
        return result;
    }

    private void scheduleCalls() {
        double peak = settings.callsPerSecond() * settings.high();
        long at = 0;
        while (at < settings.length().toNanos()) {
            at += (long) (-Math.log(1 - random.nextDouble()) / peak * SECOND);
            if (random.nextDouble() * settings.high() < step(at)) {
                int events = size(CALL_EVENTS);
                Gateway gateway = gateways.get(random.nextInt(gateways.size()));
                long time = at;
                clock.at(time, () -> gateway.onCall(new Call(events, time, false)));
            }
        }
    }

    private double step(long at) {
        long low = settings.lowStep().toNanos();
        long place = at % (low + settings.highStep().toNanos());
        return place < low ? settings.low() : settings.high();
    }

    private void scheduleJobs() {
        if (settings.jobsPerSecond() <= 0) {
            return;
        }
        long at = 0;
        while (at < settings.length().toNanos()) {
            at += (long) (-Math.log(1 - random.nextDouble()) / settings.jobsPerSecond() * SECOND);
            ModelWorker worker = workers.get(random.nextInt(workers.size()));
            List<Integer> sizes =
                    IntStream.range(0, settings.itemsPerJob())
                            .mapToObj(i -> size(ITEM_EVENTS))
                            .toList();
            clock.at(at, () -> worker.onJob(sizes));
        }
    }

    private int size(double mean) {
        return (int) Math.max(1, mean * (1 + SPREAD * random.nextGaussian()));
    }

    ModelClock clock() {
        return clock;
    }

    ModelResult result() {
        return result;
    }

    ModelTarget target(String id) {
        return targets.stream().filter(it -> it.id().equals(id)).findFirst().orElseThrow();
    }

    List<TargetLoad> loads(LoadTracker board) {
        return targets.stream()
                .map(target -> load(target, board.knownCalls(target.id(), clock.now())))
                .toList();
    }

    private List<TargetLoad> exactLoads() {
        return targets.stream()
                .map(
                        target ->
                                load(
                                        target,
                                        new TargetCalls(target.calls(false), target.calls(true))))
                .toList();
    }

    private static TargetLoad load(ModelTarget target, TargetCalls use) {
        return new TargetLoad(
                target.id(), target.zone(), target.slots(), use, CALL_NANOS, FIRST_NANOS);
    }

    /** Tells the others of a change of an instance's calls, each after the time of a report. */
    void report(String instance, String zone, LoadTracker own, boolean freed) {
        Map<String, TargetCalls> uses = new HashMap<>(own.ownCallsByTarget());
        gateways.stream()
                .filter(each -> !each.name.equals(instance))
                .forEach(
                        each ->
                                clock.at(
                                        clock.now() + delay(zone, each.zone, freed),
                                        () -> each.board.onReport(instance, uses, clock.now())));
        workers.stream()
                .filter(each -> !each.name().equals(instance))
                .forEach(
                        each ->
                                clock.at(
                                        clock.now() + delay(zone, each.zone(), freed),
                                        () -> each.onReport(instance, uses)));
    }

    private static long delay(String from, String to, boolean freed) {
        if (!from.equals(to)) {
            return FAR_REPORT;
        }
        return freed ? NEAR_REPORT_OF_FREED : NEAR_REPORT;
    }

    static LoadTracker board() {
        // Reports come with each change here, so that none expires.
        return LoadTracker.create(Duration.ofHours(1), Duration.ofMillis(400));
    }

    /** A call, in its first or second attempt. */
    private record Call(int events, long firstAttemptAt, boolean returned) {}

    private final class Gateway {
        private final String name;
        private final String zone;
        private final LoadTracker board = board();
        private final RetryAfterSchedule returns = RetryAfterSchedule.create();

        Gateway(String name, String zone) {
            this.name = name;
            this.zone = zone;
        }

        void onCall(Call call) {
            if (!call.returned()) {
                result.onCall();
                returns.onNewCall(clock.now());
            }
            Duration within = call.returned() ? OBJECTIVE : OBJECTIVE.minus(KEPT_FOR_RETURNERS);
            LoadTracker alone = board();
            board.ownCallsByTarget().forEach(alone::onOwnCallsChanged);
            Optional<TargetLoad> chosen =
                    policy.choose(
                            new ModelPolicy.Situation(
                                    loads(board),
                                    exactLoads(),
                                    loads(alone),
                                    zone,
                                    within,
                                    turn++,
                                    random));
            if (chosen.isPresent()) {
                send(call, target(chosen.get().id()));
            } else {
                refuse(call);
            }
        }

        private void refuse(Call call) {
            if (call.returned()) {
                result.onRefused();
                return;
            }
            Duration left = DEADLINE.minusNanos(clock.now() - call.firstAttemptAt());
            double slots = settings.targets() * settings.slots();
            double perSecond = slots / CALL_NANOS * SECOND / settings.gateways();
            Duration back =
                    returns.nextRetryAfter(
                            Duration.ZERO,
                            perSecond,
                            left.dividedBy(RETURN_WITHIN_PART),
                            random.nextLong(),
                            clock.now());
            Gateway other = gateways.get(random.nextInt(gateways.size()));
            Call again = new Call(call.events(), call.firstAttemptAt(), true);
            clock.at(clock.now() + back.toNanos(), () -> other.onCall(again));
        }

        private void send(Call call, ModelTarget target) {
            long sentAt = clock.now();
            use(target, 1);
            boolean[] begun = {false};
            ModelRun run =
                    new ModelRun(
                            false,
                            call.events(),
                            new ModelRun.Listener() {
                                @Override
                                public void onFirstEvent(long now) {
                                    begun[0] = true;
                                    long since = now - call.firstAttemptAt();
                                    boolean served =
                                            now - (call.returned() ? sentAt : call.firstAttemptAt())
                                                    <= OBJECTIVE.toNanos();
                                    result.onFirstEvent(since, served, call.returned());
                                }

                                @Override
                                public void onEnd(long now) {
                                    use(target, -1);
                                }
                            });
            target.send(run);
            clock.at(
                    sentAt + PATIENCE.toNanos(),
                    () -> {
                        if (!begun[0]) {
                            result.onRefused();
                            use(target, -1);
                            target.drop(run);
                        }
                    });
        }

        private void use(ModelTarget target, int change) {
            board.onOwnCallsChanged(target.id(), new TargetCalls(change, 0));
            report(name, zone, board, change < 0);
        }
    }
}
