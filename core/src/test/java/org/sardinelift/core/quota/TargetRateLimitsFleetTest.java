package org.sardinelift.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardinelift.core.load.RateLimitedTargetSample;

/**
 * Plays calls to a target that limits its rate through many instances in virtual time. Guards
 * against instances that together send more than the limit, and against a limit that is not used.
 */
class TargetRateLimitsFleetTest {
    private static final long MILLI = 1_000_000L;
    private static final String TARGET = "i-1/1";

    /** The platform's bound on the requests in a window. */
    private static final long WINDOW_MS = 4_000;

    private static final double ALLOWED_FACTOR = 1.5;
    private static final double ALLOWED_EXTRA_REQUESTS = 5;
    private static final long TIME_TO_PASS_ON_MS = 500;

    private static final double MIN_USE = 0.9;
    private static final long LIMITED_FROM_MS = 2_000;
    private static final long END_MS = 20_000;

    /** For many instances, whose reports take long to play. */
    private static final long SHORT_END_MS = 9_000;

    private static final long REPORT_DELAY_MS = 2;
    private static final long MAX_TRAVEL_MS = 28;
    private static final long HEARTBEAT_MS = 200;
    private static final long FULL_REPORT_MS = 2_000;
    private static final int LOST_REPORTS_PERCENT = 2;
    private static final long MAX_RESPONSE_MS = 80;

    /** A call waits as long as its objective lets it. */
    private static final long MAX_WAIT_MS = 250;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::order));
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> requestsAtMs = new ArrayList<>();
    private final Random random = new Random(11);
    private DoubleUnaryOperator limitAtMs = ms -> 0;
    private double callsPerSecond;
    private long nowMs;
    private long order;

    private record Event(long atMs, long order, Runnable action) {}

    private record Message(
            String from, long incarnation, long ageMs, List<TargetRateLimits.Report> reports) {}

    private final class Instance {
        private final String name;
        private final long startedMs = nowMs;
        private final FleetQuota quota;
        private final TargetRateLimits limits;
        private int group;
        private long frozenUntilMs;
        private boolean isStopped;
        private boolean isReportDue;

        Instance(String name) {
            this.name = name;
            this.quota =
                    FleetQuota.create(
                            new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2)), now());
            this.limits = TargetRateLimits.create(quota, Duration.ofMillis(700));
        }

        void start() {
            heartbeat();
            fullReport();
        }

        private void heartbeat() {
            if (!isStopped) {
                if (nowMs >= frozenUntilMs) {
                    quota.detectSilentPeers(now());
                    report(false);
                }
                after(HEARTBEAT_MS, this::heartbeat);
            }
        }

        private void fullReport() {
            if (!isStopped) {
                if (nowMs >= frozenUntilMs) {
                    report(true);
                }
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
            Message message =
                    new Message(
                            name,
                            startedMs,
                            nowMs - startedMs,
                            isStopped ? List.of() : limits.reports(isFull, now()));
            for (Instance each : List.copyOf(instances)) {
                boolean isLost = random.nextInt(100) < LOST_REPORTS_PERCENT;
                if (each != this && each.group == group && !isStopped && !isLost) {
                    after(1 + random.nextLong(MAX_TRAVEL_MS), () -> each.onMessage(message));
                }
            }
        }

        private void onMessage(Message message) {
            if (isStopped || nowMs < frozenUntilMs) {
                return;
            }
            message.reports().stream()
                    .filter(report -> report.statement().isPresent())
                    .forEach(
                            report ->
                                    limits.onPeerStatement(
                                            report.target(), report.statement().get(), now()));
            Map<String, AdmittedCount> counts = new HashMap<>();
            message.reports().stream()
                    .filter(report -> report.sent().calls() > 0)
                    .forEach(report -> counts.put(report.target(), report.sent()));
            quota.onReport(
                    message.from(), message.incarnation(), message.ageMs() * MILLI, counts, now());
        }

        /** A call for which the target would be the best choice. */
        void call() {
            if (isStopped || nowMs < frozenUntilMs) {
                return;
            }
            boolean isOffered =
                    limits.limit(TARGET).isEmpty()
                            || RateLimitedTargetSample.includes(
                                    TARGET,
                                    limits.limit(TARGET).getAsDouble(),
                                    callsPerSecond,
                                    random.nextLong());
            long delayMs = (limits.nanosUntilRequest(TARGET, now()) + MILLI - 1) / MILLI;
            if (isOffered && delayMs <= MAX_WAIT_MS) {
                limits.onRequest(TARGET, now());
                reportSoon();
                after(delayMs, this::send);
            }
        }

        private void send() {
            if (isStopped) {
                return;
            }
            requestsAtMs.add(nowMs);
            long sentAt = now();
            double limit = limitAtMs.applyAsDouble(nowMs);
            after(
                    1 + random.nextLong(MAX_RESPONSE_MS),
                    () -> {
                        StatedRate stated =
                                limit > 0
                                        ? new StatedRate.Limited(limit)
                                        : new StatedRate.Unlimited();
                        boolean hasChanged =
                                limits.onResponse(TARGET, stated, sentAt, now()).isPresent();
                        if (hasChanged) {
                            reportSoon();
                        }
                    });
        }
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
        IntStream.range(0, count).forEach(i -> instances.add(new Instance("g" + i)));
        instances.forEach(each -> after(random.nextLong(HEARTBEAT_MS), each::start));
        scheduleCall(Math.min(count, firstInstances));
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

    private void restart(int index) {
        Instance old = instances.get(index);
        old.isStopped = true;
        Instance fresh = new Instance(old.name);
        fresh.group = old.group;
        instances.set(index, fresh);
        fresh.start();
    }

    private void limitTo(double perSecond) {
        limitAtMs = ms -> ms < LIMITED_FROM_MS ? 0 : perSecond;
    }

    private long maxInWindow(long fromMs) {
        List<Long> times = requestsAtMs.stream().filter(ms -> ms >= fromMs).toList();
        long max = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW_MS) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    private void assertKept(double limit) {
        long most = maxInWindow(LIMITED_FROM_MS + TIME_TO_PASS_ON_MS);
        double allowed = ALLOWED_FACTOR * limit * WINDOW_MS / 1_000 + ALLOWED_EXTRA_REQUESTS;
        assertTrue(most <= allowed, most + " requests in a window, allowed " + allowed);
    }

    private void assertUsed(double limit) {
        long from = LIMITED_FROM_MS + 3_000;
        long requests = requestsAtMs.stream().filter(ms -> ms >= from).count();
        double possible = limit * (nowMs - from) / 1_000;
        assertTrue(
                requests >= Math.floor(MIN_USE * possible),
                requests + " requests, the limit allows " + possible);
    }

    @ParameterizedTest(name = "{0} instances, {1} per second, {2} calls")
    @CsvSource({
        "1, 0.2, 5", "1, 3, 20", "1, 500, 2000", "8, 0.2, 5", "8, 3, 12", "8, 3, 60",
        "8, 20, 80", "8, 100, 400", "43, 0.2, 200", "43, 1, 200", "43, 3, 200", "43, 20, 200",
        "200, 0.2, 2000", "200, 3, 2000", "200, 500, 2000"
    })
    void callsAtAllInstancesKeepToTheLimitAndUseIt(int count, double limit, double calls) {
        limitTo(limit);
        start(count, calls, count);

        run(endMs(count));

        assertKept(limit);
        assertUsed(limit);
    }

    private static long endMs(int count) {
        return count > 100 ? SHORT_END_MS : END_MS;
    }

    @ParameterizedTest(name = "{0} instances, {1} per second")
    @CsvSource({"8, 0.2", "8, 3", "43, 3", "43, 20", "200, 3"})
    void callsAtOneInstanceMayUseTheWholeLimit(int count, double limit) {
        limitTo(limit);
        start(count, 4 * limit + 5, 1);

        run(endMs(count));

        assertKept(limit);
        assertUsed(limit);
    }

    @ParameterizedTest(name = "{0} instances, {1} per second, {2} calls")
    @CsvSource({"3, 3, 20", "8, 3, 60", "8, 20, 80", "43, 3, 200"})
    void restartsAndFreezesDoNotExceedTheLimit(int count, double limit, double calls) {
        limitTo(limit);
        start(count, calls, count);
        for (int i = 0; i < 6; i++) {
            int index = i % count;
            at(3_000 + 2_500L * i, () -> restart(index));
            at(
                    4_100 + 2_500L * i,
                    () -> instances.get((index + 1) % count).frozenUntilMs = nowMs + 1_500);
        }

        run(END_MS);

        assertKept(limit);
    }

    @ParameterizedTest(name = "{0} instances in {1} groups, {2} per second")
    @CsvSource({"4, 2, 3", "8, 2, 3", "8, 3, 20", "43, 5, 3", "43, 2, 20"})
    void instancesThatLoseContactDoNotExceedTheLimit(int count, int groups, double limit) {
        limitTo(limit);
        start(count, 4 * limit + 5, count);
        at(
                5_000,
                () -> IntStream.range(0, count).forEach(i -> instances.get(i).group = i % groups));
        at(12_000, () -> instances.forEach(each -> each.group = 0));

        run(END_MS);

        assertKept(limit);
    }

    @Test
    void aLimitThatChangesEachSecondIsFollowed() {
        limitAtMs = ms -> ms < LIMITED_FROM_MS ? 0 : 3 + ms / 1_000 % 4;
        start(8, 60, 8);

        run(END_MS);

        assertKept(6);
    }

    @Test
    void everyInstanceSendsFreelyOnceTheTargetStatesNoLimit() {
        limitAtMs = ms -> ms >= LIMITED_FROM_MS && ms < 10_000 ? 3 : 0;
        start(8, 60, 8);

        run(END_MS);

        long from = 12_000;
        double perSecond =
                requestsAtMs.stream().filter(ms -> ms >= from).count()
                        / ((END_MS - from) / 1_000.0);
        assertTrue(perSecond >= 0.9 * callsPerSecond, perSecond + " requests per second");
        assertEquals(
                List.of(),
                instances.stream()
                        .filter(each -> each.limits.limit(TARGET).isPresent())
                        .map(each -> each.name)
                        .collect(Collectors.toList()));
    }
}
