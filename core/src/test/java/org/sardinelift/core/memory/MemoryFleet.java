package org.sardinelift.core.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import org.sardinelift.core.memory.TargetMemory.LimitedTarget;

/** Instances that send requests to targets and exchange reports, in virtual time. */
final class MemoryFleet {
    static final long MEMORY = 72_000;
    private static final int SLOTS = 8;
    private static final long MILLI = 1_000_000;
    private static final long STEP = 5 * MILLI;
    private static final long REPORT_INTERVAL = 100 * MILLI;

    /** A lost report is repeated so that no knowledge is older than the propagation time. */
    private static final long MAX_REPORT_AGE = 250 * MILLI;

    private final Random random;
    private final List<String> targets;
    private final double callsPerSecond;
    private final ToLongFunction<Random> sizes;
    private final double loss;
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Long> held = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final List<Decision> decisions = new ArrayList<>();
    private long now;
    private long highest;

    record Decision(long size, boolean isAdmitted) {}

    private record Event(long at, Runnable action) {}

    private final class Member {
        private final String name;
        private TargetMemory memory;
        private int life;
        private boolean isUp = true;
        private long nextReport;
        private long sequence;
        private final Map<String, Integer> ownCalls = new HashMap<>();
        private final Map<String, Map<String, Integer>> otherCalls = new HashMap<>();
        private final Map<String, Integer> otherSums = new HashMap<>();
        private final Map<String, Long> lastSequence = new HashMap<>();
        private final Map<String, Long> knownSince = new HashMap<>();
        private final Set<Call> running = new HashSet<>();

        Member(String name) {
            this.name = name;
            this.memory = TargetMemory.create(name, now);
            this.nextReport = now + (long) (random.nextDouble() * REPORT_INTERVAL);
        }

        int knownCalls(String target) {
            return ownCalls.getOrDefault(target, 0) + otherSums.getOrDefault(target, 0);
        }
    }

    private record Call(int number, String target, long size) {}

    MemoryFleet(
            int instances,
            int targets,
            double callsPerSecond,
            double loss,
            ToLongFunction<Random> sizes,
            long seed) {
        this.random = new Random(seed);
        this.targets = IntStream.range(0, targets).mapToObj(i -> "t" + i).toList();
        this.callsPerSecond = callsPerSecond;
        this.loss = loss;
        this.sizes = sizes;
        IntStream.range(0, instances).forEach(i -> members.add(new Member("g" + i)));
    }

    void run(double seconds, double restartsPerSecond) {
        long end = now + (long) (seconds * 1e9);
        while (now < end) {
            now += STEP;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            members.stream().filter(member -> member.isUp).forEach(this::tick);
            arrive();
            if (random.nextDouble() < restartsPerSecond * STEP / 1e9) {
                restart(members.get(random.nextInt(members.size())));
            }
        }
    }

    private void arrive() {
        double expected = callsPerSecond * STEP / 1e9;
        int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int i = 0; i < count; i++) {
            Member member = members.get(random.nextInt(members.size()));
            if (member.isUp) {
                place(member, sizes.applyAsLong(random));
            }
        }
    }

    private void place(Member member, long size) {
        String best = null;
        int fewest = SLOTS;
        int first = random.nextInt(targets.size());
        for (int i = 0; i < targets.size(); i++) {
            String target = targets.get((first + i) % targets.size());
            int calls = member.knownCalls(target);
            if (calls < fewest
                    && member.memory.fits(
                            new LimitedTarget(target, "chat", SLOTS, calls, MEMORY), size, now)) {
                best = target;
                fewest = calls;
            }
        }
        member.memory.onDecision("chat", size, best != null);
        decisions.add(new Decision(size, best != null));
        if (best != null) {
            send(member, new Call(decisions.size(), best, size));
        }
    }

    private void send(Member member, Call call) {
        member.memory.onSent(call.target(), call.size(), now);
        member.ownCalls.merge(call.target(), 1, Integer::sum);
        member.running.add(call);
        highest = Math.max(highest, held.merge(call.target(), call.size(), Long::sum));
        int life = member.life;
        long duration = (long) (-Math.log(1 - random.nextDouble()) * 750 * MILLI);
        events.add(
                new Event(
                        now + duration,
                        () -> {
                            if (member.life == life && member.running.remove(call)) {
                                member.memory.onEnded(call.target(), call.size());
                                member.ownCalls.computeIfPresent(
                                        call.target(), (key, n) -> n == 1 ? null : n - 1);
                                held.merge(call.target(), -call.size(), Long::sum);
                            }
                        }));
    }

    private void tick(Member member) {
        if (now < member.nextReport) {
            return;
        }
        member.nextReport += REPORT_INTERVAL;
        member.memory.onMembers(
                members.stream().filter(other -> other != member).map(other -> other.name).toList(),
                now);
        member.sequence++;
        Map<String, Long> tokens = member.memory.reportedTokens();
        Map<String, Integer> calls = new HashMap<>(member.ownCalls);
        long sequence = member.sequence;
        long at = now;
        members.stream()
                .filter(other -> other != member && other.isUp)
                .filter(other -> mayDeliver(other, member))
                .forEach(
                        other ->
                                events.add(
                                        new Event(
                                                now + (long) (random.nextDouble() * 150 * MILLI),
                                                () ->
                                                        deliver(
                                                                other,
                                                                member.name,
                                                                sequence,
                                                                at,
                                                                tokens,
                                                                calls))));
    }

    private boolean mayDeliver(Member receiver, Member sender) {
        return random.nextDouble() >= loss
                || now - receiver.knownSince.getOrDefault(sender.name, 0L) >= MAX_REPORT_AGE;
    }

    private void deliver(
            Member receiver,
            String sender,
            long sequence,
            long at,
            Map<String, Long> tokens,
            Map<String, Integer> calls) {
        if (receiver.lastSequence.getOrDefault(sender, 0L) < sequence) {
            receiver.lastSequence.put(sender, sequence);
            receiver.knownSince.put(sender, at);
            Map<String, Integer> before = receiver.otherCalls.put(sender, calls);
            if (before != null) {
                before.forEach((target, n) -> receiver.otherSums.merge(target, -n, Integer::sum));
            }
            calls.forEach((target, n) -> receiver.otherSums.merge(target, n, Integer::sum));
            receiver.memory.onReport(sender, tokens, now);
        }
    }

    /** Kills an instance, which closes its connections; it is back after up to 2 s. */
    private void restart(Member member) {
        if (!member.isUp) {
            return;
        }
        member.isUp = false;
        member.life++;
        member.running.forEach(call -> held.merge(call.target(), -call.size(), Long::sum));
        member.running.clear();
        member.ownCalls.clear();
        member.otherCalls.clear();
        member.otherSums.clear();
        member.lastSequence.clear();
        member.knownSince.clear();
        events.add(
                new Event(
                        now + (long) ((0.1 + 1.9 * random.nextDouble()) * 1e9),
                        () -> {
                            member.isUp = true;
                            member.memory = TargetMemory.create(member.name, now);
                            member.nextReport = now;
                        }));
    }

    /** Most tokens that a target has held at once. */
    long highest() {
        return highest;
    }

    double admitted() {
        return rate(decisions);
    }

    /** Rate of the largest tenth of the requests by that of all. */
    double ratioOfLargestTenth() {
        List<Decision> bySize =
                decisions.stream().sorted(Comparator.comparingLong(Decision::size)).toList();
        return rate(bySize.subList(bySize.size() * 9 / 10, bySize.size())) / rate(bySize);
    }

    void forgetDecisions() {
        decisions.clear();
    }

    private static double rate(List<Decision> of) {
        return of.stream().filter(Decision::isAdmitted).count() / (double) of.size();
    }
}
