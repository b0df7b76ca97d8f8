package org.sardinelift.core.route;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that make the router's tail latency worse than that of simpler policies.
 * All policies run in the same model in virtual time.
 */
class RoutingComparisonTest {
    private static final long SEED = 61;
    private static final double BUSY_ARRIVAL_GAP_MS = 15.5;

    @Test
    void theRouterHasALowerTailLatencyThanSimplerPolicies() {
        Map<String, Supplier<Function<RoutingModel.Snapshot, String>>> policies =
                new LinkedHashMap<>();
        policies.put("random", () -> RoutingComparisonTest::random);
        policies.put("round robin", RoutingComparisonTest::roundRobin);
        policies.put("least reported", () -> RoutingComparisonTest::leastReported);
        policies.put("router", RoutingComparisonTest::router);
        Map<String, RoutingModel.Result> results = new LinkedHashMap<>();
        policies.forEach(
                (name, policy) ->
                        results.put(
                                name, RoutingModel.run(SEED, BUSY_ARRIVAL_GAP_MS, policy.get())));
        System.out.println("first token, virtual time, one run");
        System.out.println("policy          p50 ms    p99 ms  prefix hits");
        results.forEach(
                (name, result) ->
                        System.out.printf(
                                "%-14s %7.0f %9.0f %11.2f%n",
                                name, result.p50Ms(), result.p99Ms(), result.cacheHitRatio()));
        RoutingModel.Result router = results.remove("router");
        results.forEach(
                (name, other) ->
                        assertTrue(
                                router.p99Ms() < other.p99Ms(),
                                name + " is better: " + other + " against " + router));
    }

    private static String random(RoutingModel.Snapshot snapshot) {
        return snapshot.candidates()
                .get(snapshot.random().nextInt(snapshot.candidates().size()))
                .name();
    }

    private static Function<RoutingModel.Snapshot, String> roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return snapshot ->
                snapshot.candidates()
                        .get(next.getAndIncrement() % snapshot.candidates().size())
                        .name();
    }

    private static String leastReported(RoutingModel.Snapshot snapshot) {
        return snapshot.candidates().stream()
                .min(Comparator.comparingInt(Candidate::reportedCalls))
                .orElseThrow()
                .name();
    }

    private static Function<RoutingModel.Snapshot, String> router() {
        Router router = Router.of("z0", "e1", 1.25, 1.5, 24);
        return snapshot ->
                router.choose(
                                snapshot.candidates(),
                                new RouteRequest("s", "m", snapshot.prefix(), Set.of(), false))
                        .orElseThrow()
                        .name();
    }
}
