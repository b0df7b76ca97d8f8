package org.sardinelift.core.route;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Model of engines in virtual time, each with bounded slots, a queue, a prefix cache and load
 * reports that lag. Calls arrive at random with a given mean gap; an uncached prefix costs extra
 * time before the first token.
 */
final class RoutingModel {
    private static final int TARGETS = 6;
    private static final int SLOTS = 8;
    private static final int REPORT_INTERVAL_MS = 200;
    private static final int CACHED_PREFIXES = 12;
    private static final int PREFIXES = 60;
    private static final double CACHED_PREFILL_MS = 20;
    private static final double UNCACHED_PREFILL_MS = 160;
    private static final double MEAN_DECODE_MS = 500;
    private static final int CALLS = 40_000;

    private final Random random;
    private final double meanArrivalGapMs;
    private final List<Target> targets = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::order));
    private final List<Double> firstTokens = new ArrayList<>();
    private double nowMs;
    private long order;

    private RoutingModel(long seed, double meanArrivalGapMs) {
        this.random = new Random(seed);
        this.meanArrivalGapMs = meanArrivalGapMs;
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new Target("t" + i));
        }
    }

    /** Time to first token at p50 and p99, and the fraction of prefix cache hits. */
    record Result(double p50Ms, double p99Ms, double cacheHitRatio) {}

    static Result run(long seed, double meanArrivalGapMs, Function<Snapshot, String> policy) {
        return new RoutingModel(seed, meanArrivalGapMs).run(policy);
    }

    /** What a policy sees at one arrival. */
    record Snapshot(List<Candidate> candidates, String prefix, Random random) {}

    private Result run(Function<Snapshot, String> policy) {
        int cacheHits = 0;
        schedule(0, this::report);
        double arrival = 0;
        for (int call = 0; call < CALLS; call++) {
            arrival += -Math.log(1 - random.nextDouble()) * meanArrivalGapMs;
            String prefix = "p" + (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
            double decodeMs = MEAN_DECODE_MS * (0.5 + random.nextDouble());
            schedule(arrival, () -> arrive(policy, prefix, decodeMs));
        }
        double last = arrival;
        while (!events.isEmpty() && nowMs <= last) {
            Event event = events.poll();
            nowMs = event.timeMs();
            event.action().run();
        }
        for (Target target : targets) {
            cacheHits += target.cacheHits;
        }
        double[] sorted = firstTokens.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return new Result(
                sorted[sorted.length / 2],
                sorted[sorted.length * 99 / 100],
                (double) cacheHits / sorted.length);
    }

    private void report() {
        targets.forEach(target -> target.reported = target.load());
        schedule(nowMs + REPORT_INTERVAL_MS, this::report);
    }

    private void arrive(Function<Snapshot, String> policy, String prefix, double decodeMs) {
        List<Candidate> seen = targets.stream().map(Target::candidate).toList();
        String chosen = policy.apply(new Snapshot(seen, prefix, random));
        Target target =
                targets.stream().filter(each -> each.name.equals(chosen)).findFirst().orElseThrow();
        target.waiting.add(new Call(nowMs, prefix, decodeMs));
        serve(target);
    }

    private void serve(Target target) {
        while (target.running < SLOTS && !target.waiting.isEmpty()) {
            Call call = target.waiting.poll();
            target.running++;
            double prefill =
                    target.usePrefix(call.prefix()) ? CACHED_PREFILL_MS : UNCACHED_PREFILL_MS;
            firstTokens.add(nowMs + prefill - call.arrivedMs());
            schedule(
                    nowMs + prefill + call.decodeMs(),
                    () -> {
                        target.running--;
                        serve(target);
                    });
        }
    }

    private void schedule(double timeMs, Runnable action) {
        events.add(new Event(timeMs, order++, action));
    }

    private record Event(double timeMs, long order, Runnable action) {}

    private record Call(double arrivedMs, String prefix, double decodeMs) {}

    private static final class Target {
        final String name;
        final Deque<Call> waiting = new ArrayDeque<>();
        private final Set<String> cache = new LinkedHashSet<>();
        int running;
        int reported;
        int cacheHits;

        Target(String name) {
            this.name = name;
        }

        int load() {
            return running + waiting.size();
        }

        boolean usePrefix(String prefix) {
            boolean hit = cache.remove(prefix);
            cache.add(prefix);
            if (cache.size() > CACHED_PREFIXES) {
                cache.remove(cache.iterator().next());
            }
            cacheHits += hit ? 1 : 0;
            return hit;
        }

        Candidate candidate() {
            return new Candidate(
                    name,
                    "s",
                    "z0",
                    new HashSet<>(Arrays.asList("m")),
                    SLOTS,
                    load(),
                    reported,
                    true,
                    Ejection.Admission.IN);
        }
    }
}
