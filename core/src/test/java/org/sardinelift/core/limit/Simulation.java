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

/** Simulates time, instances that may crash or freeze, messages with a delay, and the platform. */
final class Simulation {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;
    private static final long MESSAGE_DELAY = 1_500_000;
    private static final long LIST_DELAY = 5 * SECOND;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Deque<Runnable>> frozen = new HashMap<>();
    private final Map<String, Long> frozenAt = new HashMap<>();
    private final Set<String> runningNodes = new LinkedHashSet<>();
    private final Set<String> listed = new LinkedHashSet<>();
    private final Set<String> cutOffNodes = new LinkedHashSet<>();
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

    Set<String> runningNodes() {
        return runningNodes;
    }

    Set<String> listed() {
        return Set.copyOf(listed);
    }

    /** Instances to which a load balancer sends requests; it detects a frozen one after a delay. */
    List<String> trafficReceivers(long detectionDelay) {
        List<String> receivers = new ArrayList<>(runningNodes);
        receivers.removeIf(node -> isFrozen(node) && now - frozenAt.get(node) > detectionDelay);
        return receivers;
    }

    boolean isFrozen(String node) {
        return frozen.containsKey(node);
    }

    boolean canReachPlatform(String node) {
        return !platformDown && !cutOffNodes.contains(node);
    }

    void start(String node) {
        runningNodes.add(node);
        schedule(now + LIST_DELAY, () -> listed.add(node));
    }

    void startListed(String node) {
        runningNodes.add(node);
        listed.add(node);
    }

    void crash(String node) {
        runningNodes.remove(node);
        frozen.remove(node);
        schedule(now + LIST_DELAY, () -> listed.remove(node));
    }

    void restart(String node) {
        runningNodes.add(node);
    }

    void stop(String node) {
        runningNodes.remove(node);
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
        Deque<Runnable> deferred = frozen.remove(node);
        if (deferred != null && runningNodes.contains(node)) {
            deferred.forEach(Runnable::run);
        }
    }

    void setCutOff(String node, boolean isCutOff) {
        if (isCutOff) {
            cutOffNodes.add(node);
        } else {
            cutOffNodes.remove(node);
        }
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    /** Runs an action at an instance: later if it is frozen, never if it is down. */
    void scheduleAtNode(long time, String node, Runnable action) {
        schedule(time, () -> runAt(node, action));
    }

    void sendMessage(String to, Runnable action) {
        scheduleAtNode(now + MESSAGE_DELAY + random.nextLong(MESSAGE_DELAY / 4), to, action);
    }

    /** Calls the platform: the effect happens there, and the answer arrives unless it is lost. */
    <T> void callPlatform(
            String from,
            java.util.function.Supplier<T> effect,
            Consumer<T> onAnswer,
            Runnable onFailure) {
        if (!canReachPlatform(from)) {
            sendMessage(from, onFailure);
            return;
        }
        schedule(
                now + MESSAGE_DELAY,
                () -> {
                    T result = effect.get();
                    if (random.nextDouble() >= lostAnswers) {
                        sendMessage(from, () -> onAnswer.accept(result));
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
        Deque<Runnable> deferred = frozen.get(node);
        if (deferred != null) {
            deferred.add(action);
        } else if (runningNodes.contains(node)) {
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
