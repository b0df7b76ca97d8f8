package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Virtual time, instances that may crash or freeze, messages with a delay, and the platform. */
final class Simulation {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;
    private static final long HOP = 1_500_000;
    private static final long LIST_LAG = 5 * SECOND;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Deque<Runnable>> frozen = new HashMap<>();
    private final Map<String, Long> frozenAt = new HashMap<>();
    private final Set<String> up = new LinkedHashSet<>();
    private final Set<String> listed = new LinkedHashSet<>();
    private final Set<String> cutOff = new LinkedHashSet<>();
    final RandomGenerator random;
    private long now;
    private long sequence;
    boolean platformDown;
    double lostAnswers;
    double staleReads;

    Simulation(RandomGenerator random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    Set<String> up() {
        return up;
    }

    Set<String> listed() {
        return Set.copyOf(listed);
    }

    /** Instances that a balancer sends to, which notices a frozen one after a time. */
    List<String> trafficReceivers(long lag) {
        List<String> taking = new ArrayList<>(up);
        taking.removeIf(node -> isFrozen(node) && now - frozenAt.get(node) > lag);
        return taking;
    }

    boolean isFrozen(String node) {
        return frozen.containsKey(node);
    }

    boolean canReachPlatform(String node) {
        return !platformDown && !cutOff.contains(node);
    }

    void start(String node) {
        up.add(node);
        schedule(now + LIST_LAG, () -> listed.add(node));
    }

    void startListed(String node) {
        up.add(node);
        listed.add(node);
    }

    void crash(String node) {
        up.remove(node);
        frozen.remove(node);
        schedule(now + LIST_LAG, () -> listed.remove(node));
    }

    void restart(String node) {
        up.add(node);
    }

    void stop(String node) {
        up.remove(node);
        frozen.remove(node);
    }

    void freeze(String node) {
        frozen.put(node, new ArrayDeque<>());
        frozenAt.put(node, now);
    }

    void delist(String node) {
        listed.remove(node);
    }

    void relist(String node) {
        listed.add(node);
    }

    void unfreeze(String node) {
        Deque<Runnable> waiting = frozen.remove(node);
        if (waiting != null && up.contains(node)) {
            waiting.forEach(Runnable::run);
        }
    }

    void cutOff(String node, boolean isCutOff) {
        if (isCutOff) {
            cutOff.add(node);
        } else {
            cutOff.remove(node);
        }
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    /** Runs an action at an instance, later if it is frozen, never if it is down. */
    void scheduleAtNode(long time, String node, Runnable action) {
        schedule(time, () -> runAt(node, action));
    }

    void sendMessage(String to, Runnable action) {
        scheduleAtNode(now + HOP + random.nextLong(HOP / 4), to, action);
    }

    /** A call of the platform: takes effect there, and its answer comes back unless it is lost. */
    <T> void callPlatform(
            String from, java.util.function.Supplier<T> effect, Consumer<T> ok, Runnable failed) {
        if (!canReachPlatform(from)) {
            sendMessage(from, failed);
            return;
        }
        schedule(
                now + HOP,
                () -> {
                    T result = effect.get();
                    if (random.nextDouble() >= lostAnswers) {
                        sendMessage(from, () -> ok.accept(result));
                    }
                });
    }

    void scheduleEvery(String node, long period, Runnable action) {
        scheduleAtNode(
                now + period,
                node,
                () -> {
                    action.run();
                    scheduleEvery(node, period, action);
                });
    }

    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().time() <= until) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = until;
    }

    private void runAt(String node, Runnable action) {
        Deque<Runnable> waiting = frozen.get(node);
        if (waiting != null) {
            waiting.add(action);
        } else if (up.contains(node)) {
            action.run();
        }
    }

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
