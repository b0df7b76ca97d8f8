package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.plan.RateLimit;
import org.sardinelift.core.quota.AdmittedCount;

/**
 * Simulates a fleet under load in virtual time.
 *
 * <p>Gateways and workers use the same targets without a common queue, callers honour Retry-After
 * and retry once, and batch items can be preempted and resumed. The decisions are made by the
 * product's own code; only engines, network and callers are simulated.
 */
public final class LoadModel {
    static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    /** Delay until an instance in the same zone knows of a call. */
    private static final long SAME_ZONE_REPORT_DELAY_NANOS = 3 * NANOS_PER_MILLI;

    /** Delay until an instance in the same zone knows of a freed slot. */
    private static final long SAME_ZONE_FREED_REPORT_DELAY_NANOS = 13 * NANOS_PER_MILLI;

    /** Delay until an instance in another zone knows, through two relays that gather reports. */
    private static final long OTHER_ZONE_REPORT_DELAY_NANOS = 18 * NANOS_PER_MILLI;

    private static final Duration FIRST_EVENT_OBJECTIVE = Duration.ofMillis(300);
    private static final Duration CALL_DEADLINE = Duration.ofMillis(5_000);

    /** Callers disconnect if the first event has not arrived within this time. */
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(2_000);

    private static final Duration OBJECTIVE_RESERVED_FOR_RETRIES = Duration.ofMillis(60);
    private static final long CALL_NANOS = 750 * NANOS_PER_MILLI;
    private static final long FIRST_EVENT_NANOS = 45 * NANOS_PER_MILLI;
    private static final int RETRY_WITHIN_DIVISOR = 3;
    private static final double MEAN_CALL_EVENTS = 32;
    private static final double MEAN_ITEM_EVENTS = 219;
    private static final double SIZE_DEVIATION = 0.25;

    private final ModelSettings settings;
    private final ModelPolicy policy;
    private final VirtualClock clock = new VirtualClock();
    private final ModelResult result = new ModelResult();
    private final Random random;
    private final List<ModelTarget> targets = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<ModelWorker> workers = new ArrayList<>();
    private long choiceCount;

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
        }
        for (int zone = 0; zone < settings.zones(); zone++) {
            String name = "z" + zone;
            IntStream.range(0, settings.gatewaysPerZone())
                    .forEach(i -> gateways.add(new Gateway(name + "-g" + i, name)));
            workers.add(new ModelWorker(name + "-w", name, this));
        }
    }

    /**
     * Simulates a load.
     *
     * @param settings the fleet and its load
     * @param policy how gateways choose targets
     * @return the results of the callers
     */
    public static ModelResult simulate(ModelSettings settings, ModelPolicy policy) {
        return new LoadModel(settings, policy).run();
    }

    private ModelResult run() {
        scheduleCalls();
        scheduleJobs();
        workers.forEach(ModelWorker::start);
        long end = settings.duration().toNanos();
        clock.runUntil(end);
        long busy = targets.stream().mapToLong(target -> target.busyNanos(end)).sum();
        result.onMeasurementEnd((double) busy / end / settings.targets() / settings.slots());
        clock.runUntil(end + 30 * NANOS_PER_SECOND);
        return result;
    }

    private void scheduleCalls() {
        double peak = settings.callsPerSecond() * settings.highFactor();
        long at = 0;
        while (at < settings.duration().toNanos()) {
            at += (long) (-Math.log(1 - random.nextDouble()) / peak * NANOS_PER_SECOND);
            if (random.nextDouble() * settings.highFactor() < trafficFactor(at)) {
                int events = randomSize(MEAN_CALL_EVENTS);
                Gateway gateway = gateways.get(random.nextInt(gateways.size()));
                long time = at;
                clock.schedule(time, () -> gateway.onCall(new Call(events, time, false)));
            }
        }
    }

    private double trafficFactor(long at) {
        long lowNanos = settings.lowDuration().toNanos();
        long timeInCycle = at % (lowNanos + settings.highDuration().toNanos());
        return timeInCycle < lowNanos ? settings.lowFactor() : settings.highFactor();
    }

    private void scheduleJobs() {
        if (settings.jobsPerSecond() <= 0) {
            return;
        }
        long at = 0;
        while (at < settings.duration().toNanos()) {
            at +=
                    (long)
                            (-Math.log(1 - random.nextDouble())
                                    / settings.jobsPerSecond()
                                    * NANOS_PER_SECOND);
            ModelWorker worker = workers.get(random.nextInt(workers.size()));
            List<Integer> sizes =
                    IntStream.range(0, settings.itemsPerJob())
                            .mapToObj(i -> randomSize(MEAN_ITEM_EVENTS))
                            .toList();
            clock.schedule(at, () -> worker.onJob(sizes));
        }
    }

    private int randomSize(double mean) {
        return (int) Math.max(1, mean * (1 + SIZE_DEVIATION * random.nextGaussian()));
    }

    VirtualClock clock() {
        return clock;
    }

    ModelResult result() {
        return result;
    }

    ModelTarget target(String id) {
        return targets.stream().filter(it -> it.id().equals(id)).findFirst().orElseThrow();
    }

    List<TargetLoad> loads(LoadTracker loadTracker, ModelRateLimits rateLimits) {
        return targets.stream()
                .map(
                        target ->
                                load(
                                        target,
                                        loadTracker.knownCalls(target.id(), clock.now()),
                                        rateLimits))
                .toList();
    }

    /** Creates what an instance knows of the limits, which the last targets have. */
    ModelRateLimits newRateLimits() {
        double perSecond = settings.targetRequestsPerSecond();
        return ModelRateLimits.of(
                IntStream.range(0, settings.limitedTargets())
                        .mapToObj(i -> targets.get(targets.size() - 1 - i).id())
                        .collect(
                                Collectors.toMap(
                                        id -> id, id -> new RateLimit(id, perSecond, perSecond))));
    }

    private List<TargetLoad> exactLoads(ModelRateLimits rateLimits) {
        return targets.stream()
                .map(
                        target ->
                                load(
                                        target,
                                        new TargetCalls(
                                                target.callCount(false), target.callCount(true)),
                                        rateLimits))
                .toList();
    }

    private TargetLoad load(ModelTarget target, TargetCalls calls, ModelRateLimits rateLimits) {
        TargetLoad load =
                new TargetLoad(
                        target.id(),
                        target.zone(),
                        target.slots(),
                        calls,
                        CALL_NANOS,
                        FIRST_EVENT_NANOS,
                        false,
                        0);
        return rateLimits.isLimited(target.id())
                ? load.withRateLimit(rateLimits.nanosUntilRequest(target.id(), clock.now()))
                : load;
    }

    /** Reports an instance's calls to all other instances, each after the delay of a report. */
    void report(
            String instance,
            String zone,
            LoadTracker ownTracker,
            ModelRateLimits ownLimits,
            boolean isFreed) {
        Map<String, TargetCalls> calls = new HashMap<>(ownTracker.ownCallsByTarget());
        Map<String, AdmittedCount> requests = ownLimits.counts();
        gateways.stream()
                .filter(each -> !each.name.equals(instance))
                .forEach(
                        each ->
                                clock.schedule(
                                        clock.now() + delay(zone, each.zone, isFreed),
                                        () -> each.onReport(instance, calls, requests)));
        workers.stream()
                .filter(each -> !each.name().equals(instance))
                .forEach(
                        each ->
                                clock.schedule(
                                        clock.now() + delay(zone, each.zone(), isFreed),
                                        () -> each.onReport(instance, calls, requests)));
    }

    private static long delay(String fromZone, String toZone, boolean isFreed) {
        if (!fromZone.equals(toZone)) {
            return OTHER_ZONE_REPORT_DELAY_NANOS;
        }
        return isFreed ? SAME_ZONE_FREED_REPORT_DELAY_NANOS : SAME_ZONE_REPORT_DELAY_NANOS;
    }

    static LoadTracker newLoadTracker() {
        // Every change is reported here, so reports need not expire.
        return LoadTracker.create(Duration.ofHours(1), Duration.ofMillis(400));
    }

    /** A call in its first or second attempt. */
    private record Call(int events, long firstAttemptAt, boolean isRetry) {}

    private final class Gateway {
        private final String name;
        private final String zone;
        private final LoadTracker loadTracker = newLoadTracker();
        private final ModelRateLimits rateLimits = newRateLimits();
        private final RetryAfterSchedule retrySchedule = RetryAfterSchedule.create();

        Gateway(String name, String zone) {
            this.name = name;
            this.zone = zone;
        }

        void onReport(
                String instance,
                Map<String, TargetCalls> calls,
                Map<String, AdmittedCount> requests) {
            loadTracker.onReport(instance, calls, clock.now());
            rateLimits.onReport(instance, requests, clock.now());
        }

        void onCall(Call call) {
            if (!call.isRetry()) {
                result.onCall();
                retrySchedule.onNewCall(clock.now());
            }
            Duration timeLimit =
                    call.isRetry()
                            ? FIRST_EVENT_OBJECTIVE
                            : FIRST_EVENT_OBJECTIVE.minus(OBJECTIVE_RESERVED_FOR_RETRIES);
            LoadTracker ownCalls = newLoadTracker();
            loadTracker.ownCallsByTarget().forEach(ownCalls::onOwnCallsChanged);
            Optional<TargetLoad> chosen =
                    policy.choose(
                            new ModelPolicy.PolicyInput(
                                    loads(loadTracker, rateLimits),
                                    exactLoads(rateLimits),
                                    loads(ownCalls, rateLimits),
                                    zone,
                                    timeLimit,
                                    choiceCount++,
                                    random));
            if (chosen.isPresent()) {
                place(call, chosen.get());
            } else {
                refuse(call);
            }
        }

        private void refuse(Call call) {
            if (call.isRetry()) {
                result.onRefused();
                return;
            }
            Duration left = CALL_DEADLINE.minusNanos(clock.now() - call.firstAttemptAt());
            double perSecond =
                    targets.stream().mapToDouble(this::freedSlotsPerSecond).sum()
                            / settings.gateways();
            Duration retryAfter =
                    retrySchedule.nextRetryAfter(
                            Duration.ZERO,
                            perSecond,
                            left.dividedBy(RETRY_WITHIN_DIVISOR),
                            random.nextLong(),
                            clock.now());
            Gateway other = gateways.get(random.nextInt(gateways.size()));
            Call retry = new Call(call.events(), call.firstAttemptAt(), true);
            clock.schedule(clock.now() + retryAfter.toNanos(), () -> other.onCall(retry));
        }

        private double freedSlotsPerSecond(ModelTarget target) {
            double freed = (double) target.slots() / CALL_NANOS * NANOS_PER_SECOND;
            return rateLimits.isLimited(target.id())
                    ? Math.min(freed, settings.targetRequestsPerSecond())
                    : freed;
        }

        private void place(Call call, TargetLoad load) {
            rateLimits.onRequest(load.id(), clock.now());
            report(name, zone, loadTracker, rateLimits, false);
            clock.schedule(
                    clock.now() + load.sendDelayNanos(), () -> send(call, target(load.id())));
        }

        private void send(Call call, ModelTarget target) {
            long sentAt = clock.now();
            changeCalls(target, 1);
            boolean[] hasBegun = {false};
            ModelRun run =
                    new ModelRun(
                            false,
                            call.events(),
                            new ModelRun.Listener() {
                                @Override
                                public void onFirstEvent(long now) {
                                    hasBegun[0] = true;
                                    long sinceFirstAttempt = now - call.firstAttemptAt();
                                    boolean isInTime =
                                            now - (call.isRetry() ? sentAt : call.firstAttemptAt())
                                                    <= FIRST_EVENT_OBJECTIVE.toNanos();
                                    result.onFirstEvent(
                                            sinceFirstAttempt, isInTime, call.isRetry());
                                }

                                @Override
                                public void onEnd(long now) {
                                    changeCalls(target, -1);
                                }
                            });
            target.enqueue(run);
            clock.schedule(
                    sentAt + FIRST_EVENT_TIMEOUT.toNanos(),
                    () -> {
                        if (!hasBegun[0]) {
                            result.onRefused();
                            changeCalls(target, -1);
                            target.cancel(run);
                        }
                    });
        }

        private void changeCalls(ModelTarget target, int change) {
            loadTracker.onOwnCallsChanged(target.id(), new TargetCalls(change, 0));
            report(name, zone, loadTracker, rateLimits, change < 0);
        }
    }
}
