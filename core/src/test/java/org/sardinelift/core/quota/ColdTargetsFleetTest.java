package org.sardinelift.core.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardinelift.core.load.CallRate;
import org.sardinelift.core.load.RateLimitedTargetSample;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServicePlan;

/**
 * Plays calls to a target that is cold through many instances in virtual time. Guards against
 * instances that together send more than it survives, and against a rate that is not used.
 */
class ColdTargetsFleetTest {
    private static final long MILLI = 1_000_000L;
    private static final String ID = "i-1";
    private static final double COLD_PER_SECOND = 10;

    /** The platform's bound on the requests in any second: 1.5 times the rate and 5. */
    private static final long MAX_PER_SECOND = 20;

    private static final double MIN_USE = 0.9;
    private static final long WRITE_INTERVAL_MS = 1_200;
    private static final long LIST_INTERVAL_MS = 700;
    private static final long MAX_LIST_AGE_MS = 2_000;
    private static final long REPORT_DELAY_MS = 2;
    private static final long MAX_TRAVEL_MS = 28;
    private static final long HEARTBEAT_MS = 100;
    private static final long FULL_REPORT_MS = 2_000;
    private static final long MAX_RESPONSE_MS = 80;
    private static final long MAX_WAIT_MS = 250;
    private static final long PROBE_INTERVAL_MS = 200;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::order));
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> coldRequestsAtMs = new ArrayList<>();
    private final TreeMap<Long, RegisteredTarget> written = new TreeMap<>();
    private final Random random = new Random(17);
    private int lostPercent = 2;
    private boolean isStoreAway;
    private double callsPerSecond;
    private long coldTimeMs;
    private long upFromMs = Long.MAX_VALUE;
    private long coldUntilMs;
    private long startedAtMs = 1;
    private long nowMs;
    private long order;

    private record Event(long atMs, long order, Runnable action) {}

    private record Message(
            String from,
            long incarnation,
            long ageMs,
            double callsPerSecond,
            List<TargetRateLimits.Report> reports) {}

    private record PeerRate(double perSecond, long atMs) {}

    private final class Instance {
        private final String name;
        private final long startedMs = nowMs;
        private final FleetQuota quota;
        private final TargetRateLimits limits;
        private final ColdTargets cold;
        private final CallRate calls = CallRate.averagedOver(Duration.ofSeconds(1));
        private final Map<String, PeerRate> peerRates = new HashMap<>();
        private Optional<RegisteredTarget> entry = Optional.empty();
        private long listedAtMs = -1;
        private String silent = "";
        private int group;
        private boolean isStopped;
        private boolean isReportDue;

        Instance(String name, int maxInstances) {
            this.name = name;
            this.quota =
                    FleetQuota.create(
                            new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2)), now());
            quota.shareStrictly(
                    new StrictSharing(
                            Duration.ofMillis(350),
                            maxInstances,
                            Duration.ofSeconds(1),
                            name.hashCode()),
                    now());
            this.limits = TargetRateLimits.create(quota, Duration.ofMillis(700));
            this.cold = ColdTargets.of(limits);
            cold.onPlan(
                    service ->
                            Optional.of(
                                    new ServicePlan(
                                            service,
                                            OptionalDouble.of(COLD_PER_SECOND),
                                            Duration.ofMillis(coldTimeMs),
                                            OptionalLong.empty())),
                    now());
        }

        void start() {
            if (!isStoreAway) {
                after(
                        50,
                        () -> {
                            instances.stream()
                                    .filter(each -> each != this)
                                    .forEach(each -> quota.onPeerAdded(each.name, now()));
                            quota.onInstancesListed(now());
                        });
            }
            heartbeat();
            fullReport();
            list();
        }

        /** Receives a list that was read some time ago, by this instance or another. */
        private void list() {
            if (isStopped) {
                return;
            }
            long readAtMs = nowMs - random.nextLong(MAX_LIST_AGE_MS);
            if (readAtMs > listedAtMs) {
                listedAtMs = readAtMs;
                entry = Optional.ofNullable(written.floorEntry(readAtMs)).map(Map.Entry::getValue);
                cold.onListed(entry.stream().toList(), readAtMs * MILLI, now());
            }
            after(LIST_INTERVAL_MS, this::list);
        }

        private void heartbeat() {
            if (!isStopped) {
                quota.detectSilentPeers(now());
                cold.tick(now());
                report(false);
                after(HEARTBEAT_MS, this::heartbeat);
            }
        }

        private void fullReport() {
            if (!isStopped) {
                report(true);
                after(FULL_REPORT_MS, this::fullReport);
            }
        }

        private void reportSoon() {
            if (!isReportDue) {
                isReportDue = true;
                after(
                        REPORT_DELAY_MS,
                        () -> {
                            isReportDue = false;
                            report(false);
                        });
            }
        }

        private void report(boolean isFull) {
            if (isStopped) {
                return;
            }
            Message message =
                    new Message(
                            name,
                            startedMs,
                            nowMs - startedMs,
                            calls.perSecond(now()),
                            limits.reports(isFull, now()));
            for (Instance each : List.copyOf(instances)) {
                boolean isLost = random.nextInt(100) < lostPercent;
                if (each != this && each.group == group && !isLost) {
                    after(1 + random.nextLong(MAX_TRAVEL_MS), () -> each.onMessage(message));
                }
            }
        }

        private void onMessage(Message message) {
            if (isStopped) {
                return;
            }
            peerRates.put(message.from(), new PeerRate(message.callsPerSecond(), nowMs));
            Map<String, AdmittedCount> counts = new HashMap<>();
            message.reports()
                    .forEach(
                            report -> {
                                cold.onPeerReport(
                                        report.target(),
                                        report.coldLeftNanos().orElse(0) / MILLI,
                                        now());
                                if (report.sent().calls() > 0) {
                                    counts.put(report.target(), report.sent());
                                }
                            });
            quota.onReport(
                    message.from(), message.incarnation(), message.ageMs() * MILLI, counts, now());
        }

        private double fleetCallsPerSecond() {
            return calls.perSecond(now())
                    + peerRates.values().stream()
                            .filter(rate -> nowMs - rate.atMs() < 600)
                            .mapToDouble(PeerRate::perSecond)
                            .sum();
        }

        /** A call for which the target would be the best choice. */
        void call() {
            if (isStopped) {
                return;
            }
            calls.onCall(now());
            if (entry.isEmpty() || entry.get().incarnation().equals(silent)) {
                return;
            }
            String target = entry.get().incarnation();
            OptionalDouble limit = limits.limit(target);
            boolean isOffered =
                    limit.isEmpty()
                            || RateLimitedTargetSample.includesCold(
                                    target,
                                    limit.getAsDouble(),
                                    fleetCallsPerSecond(),
                                    random.nextLong());
            long delayMs = (limits.nanosUntilRequest(target, now()) + MILLI - 1) / MILLI;
            if (isOffered && delayMs <= MAX_WAIT_MS) {
                limits.onRequest(target, now());
                reportSoon();
                after(delayMs, () -> send(target));
            }
        }

        private void send(String target) {
            if (isStopped) {
                return;
            }
            if (!reach()) {
                after(1, () -> onSilent(target));
            }
        }

        private void onSilent(String target) {
            if (!isStopped && !target.equals(silent)) {
                silent = target;
                cold.onSilent(target, now());
                reportSoon();
                probe(target);
            }
        }

        private void probe(String target) {
            boolean isListed = entry.map(RegisteredTarget::incarnation).equals(Optional.of(target));
            if (isStopped || !isListed || !target.equals(silent)) {
                return;
            }
            long delay = limits.nanosUntilProbe(target, now());
            if (delay > 0) {
                after(delay / MILLI + 1, () -> probe(target));
                return;
            }
            limits.onRequest(target, now());
            reportSoon();
            if (reach()) {
                after(
                        1 + random.nextLong(MAX_RESPONSE_MS),
                        () -> {
                            silent = "";
                            cold.onAnswer(target, now());
                            reportSoon();
                        });
            } else {
                after(PROBE_INTERVAL_MS, () -> probe(target));
            }
        }
    }

    /** Whether a request sent now reaches the target. */
    private boolean reach() {
        boolean isUp = nowMs >= upFromMs;
        if (isUp && nowMs < coldUntilMs) {
            coldRequestsAtMs.add(nowMs);
        }
        return isUp;
    }

    private long now() {
        return nowMs * MILLI;
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    private void at(long ms, Runnable action) {
        events.add(new Event(ms, order++, action));
    }

    /** Starts instances; calls arrive at random ones of the first few. */
    private void start(int count, double calls, int firstInstances) {
        callsPerSecond = calls;
        IntStream.range(0, count)
                .forEach(i -> instances.add(new Instance("g" + i, Math.max(40, count))));
        instances.forEach(each -> after(random.nextLong(HEARTBEAT_MS), each::start));
        write();
        scheduleCall(firstInstances);
    }

    private void write() {
        if (nowMs >= upFromMs) {
            written.put(
                    nowMs,
                    new RegisteredTarget(
                            ID,
                            "s",
                            "h",
                            1,
                            "z",
                            8,
                            false,
                            startedAtMs,
                            "v",
                            OptionalLong.of(Math.max(0, coldUntilMs - nowMs))));
        }
        after(WRITE_INTERVAL_MS, this::write);
    }

    private void scheduleCall(int firstInstances) {
        double seconds = -Math.log(1 - random.nextDouble()) / callsPerSecond;
        after(
                Math.max(0, Math.round(seconds * 1_000)),
                () -> {
                    instances.get(random.nextInt(firstInstances)).call();
                    scheduleCall(firstInstances);
                });
    }

    private void run(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = untilMs;
    }

    private void restartTarget(long incarnation, long downMs) {
        startedAtMs = incarnation;
        upFromMs = nowMs + downMs;
        coldUntilMs = upFromMs + coldTimeMs;
    }

    private void restart(int index, int maxInstances) {
        Instance old = instances.get(index);
        old.isStopped = true;
        Instance fresh = new Instance(old.name, maxInstances);
        fresh.group = old.group;
        instances.set(index, fresh);
        after(200 + random.nextLong(400), fresh::start);
    }

    private void assertKept() {
        long most = 0;
        int first = 0;
        for (int last = 0; last < coldRequestsAtMs.size(); last++) {
            while (coldRequestsAtMs.get(last) - coldRequestsAtMs.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        assertTrue(most <= MAX_PER_SECOND, most + " requests in a second");
    }

    private void assertUsed(long fromMs, long toMs) {
        long requests = coldRequestsAtMs.stream().filter(ms -> ms >= fromMs && ms < toMs).count();
        double possible = COLD_PER_SECOND * (toMs - fromMs) / 1_000;
        assertTrue(
                requests >= Math.floor(MIN_USE * possible),
                requests + " requests, the limit allows " + possible);
    }

    @ParameterizedTest(name = "{0} instances, {1} calls at {2}")
    @CsvSource({
        "1, 30, 1",
        "5, 100, 5",
        "5, 60, 1",
        "40, 40, 40",
        "40, 400, 40",
        "40, 100, 1",
        "200, 2000, 200",
        "200, 100, 1"
    })
    void aNewTargetGetsWhatItTakesAndNotMore(int count, double calls, int first) {
        coldTimeMs = 8_000;
        start(count, calls, first);
        at(3_000, () -> restartTarget(2, 0));

        run(11_500);

        assertKept();
        assertUsed(7_000, 11_000);
    }

    @ParameterizedTest(name = "{0} instances, {1}% lost")
    @CsvSource({"5, 20", "40, 20", "40, 50", "200, 20"})
    void lostReportsDoNotExceedTheBound(int count, int lost) {
        lostPercent = lost;
        coldTimeMs = 6_000;
        start(count, 10 * count, count);
        at(3_000, () -> restartTarget(2, 0));

        run(9_500);

        assertKept();
    }

    @ParameterizedTest(name = "{0} instances, one in {1} restarts, store away {2}")
    @CsvSource({
        "1, 1, true",
        "5, 5, true",
        "5, 2, true",
        "5, 1, true",
        "40, 40, true",
        "40, 2, true",
        "40, 1, true",
        "40, 1, false",
        "200, 200, true",
        "200, 2, true",
        "200, 1, true"
    })
    void instancesThatRestartDoNotExceedTheBound(int count, int part, boolean isAway) {
        coldTimeMs = 8_000;
        start(count, 10 * count, count);
        at(3_000, () -> restartTarget(2, 0));
        at(
                6_000,
                () -> {
                    isStoreAway = isAway;
                    IntStream.range(0, count)
                            .filter(i -> i % part == 0)
                            .forEach(i -> restart(i, Math.max(40, count)));
                });

        run(11_000);

        assertKept();
    }

    @ParameterizedTest(name = "{0} instances in {1} groups")
    @CsvSource({"5, 2", "5, 5", "40, 2", "40, 7", "40, 40", "200, 3", "200, 200"})
    void instancesThatLoseContactDoNotExceedTheBound(int count, int groups) {
        coldTimeMs = 12_000;
        start(count, 10 * count, count);
        at(3_000, () -> restartTarget(2, 0));
        at(
                6_000,
                () -> IntStream.range(0, count).forEach(i -> instances.get(i).group = i % groups));
        at(11_000, () -> instances.forEach(each -> each.group = 0));

        run(14_000);

        assertKept();
    }

    @ParameterizedTest(name = "{0} instances, {1} calls, down for {2} ms, incarnation {3}")
    @CsvSource({
        "1, 50, 800, 2",
        "5, 100, 800, 2",
        "5, 100, 800, 1",
        "40, 400, 800, 2",
        "40, 400, 300, 1",
        "40, 50, 800, 2",
        "40, 400, 3000, 2",
        "200, 2000, 800, 2",
        "200, 2000, 800, 1"
    })
    void aTargetThatRestartsInPlaceIsTakenAsCold(
            int count, double calls, long downMs, long incarnation) {
        coldTimeMs = 3_000;
        start(count, calls, count);
        restartTarget(1, 0);
        at(9_000, coldRequestsAtMs::clear);
        at(9_000, () -> restartTarget(incarnation, downMs));

        run(9_000 + downMs + 3_500);

        assertKept();
    }

    /** Instances that were idle must not all send at once when calls arrive. */
    @ParameterizedTest(name = "{0} isolated instances")
    @CsvSource({"5", "40", "200"})
    void isolatedInstancesDoNotSaveRequests(int count) {
        coldTimeMs = 20_000;
        start(count, 0.01, count);
        instances.forEach(each -> each.group = Integer.parseInt(each.name.substring(1)));
        at(1_000, () -> restartTarget(2, 0));
        at(16_000, () -> callsPerSecond = 20 * count);
        at(16_000, () -> scheduleCall(count));

        run(20_000);

        assertKept();
    }
}
