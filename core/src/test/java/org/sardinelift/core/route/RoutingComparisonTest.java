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

/** The router against simpler policies, in one run of one virtual-time model. */
class RoutingComparisonTest {
    private static final long SEED = 61;
    private static final double BUSY_PAUSE_MS = 15.5;

    @Test
    void theRouterBeatsSimplerPoliciesAtTheTail() {
        Map<String, Supplier<Function<RoutingModel.Snapshot, String>>> policies =
                new LinkedHashMap<>();
        policies.put("random", () -> RoutingComparisonTest::random);
        policies.put("round robin", RoutingComparisonTest::roundRobin);
        policies.put("least reported", () -> RoutingComparisonTest::leastReported);
        policies.put("router", RoutingComparisonTest::router);
        Map<String, RoutingModel.Result> results = new LinkedHashMap<>();
        policies.forEach(
                (name, policy) ->
                        results.put(name, RoutingModel.run(SEED, BUSY_PAUSE_MS, policy.get())));
        System.out.println("first token, virtual time, one run");
        System.out.println("policy          p50 ms    p99 ms  prefix hits");
        results.forEach(
                (name, result) ->
                        System.out.printf(
                                "%-14s %7.0f %9.0f %11.2f%n",
                                name, result.p50Ms(), result.p99Ms(), result.hits()));
        RoutingModel.Result router = results.remove("router");
        results.forEach(
                (name, other) ->
                        assertTrue(
                                router.p99Ms() < other.p99Ms(),
                                name + " is better: " + other + " against " + router));
    }

    private static String random(RoutingModel.Snapshot seen) {
        return seen.candidates().get(seen.random().nextInt(seen.candidates().size())).name();
    }

    private static Function<RoutingModel.Snapshot, String> roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return seen ->
                seen.candidates().get(next.getAndIncrement() % seen.candidates().size()).name();
    }

    private static String leastReported(RoutingModel.Snapshot seen) {
        return seen.candidates().stream()
                .min(Comparator.comparingInt(Candidate::reportedCalls))
                .orElseThrow()
                .name();
    }

    private static Function<RoutingModel.Snapshot, String> router() {
        Router router = Router.of("z0", "e1", 1.25, 1.5, 24);
        return seen ->
                router.choose(
                                seen.candidates(),
                                new RouteRequest("s", "m", seen.prefix(), Set.of(), false))
                        .orElseThrow()
                        .name();
    }
}
