package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Approach in which each entry has an equal part of each limit, by the number of listed entries.
 */
final class StaticSplitFleet implements SimulatedFleet {
    private final Simulation simulation;
    private final Map<String, Node> nodes = new HashMap<>();

    StaticSplitFleet(Simulation simulation) {
        this.simulation = simulation;
    }

    @Override
    public void start(String name) {
        Node node = new Node();
        nodes.put(name, node);
        readList(name, node);
        simulation.scheduleEvery(name, Simulation.SECOND, () -> readList(name, node));
    }

    private void readList(String name, Node node) {
        simulation.callPlatform(
                name,
                simulation::listed,
                list -> node.entryCount = Math.max(1, list.size()),
                () -> {});
    }

    @Override
    public void request(String name, TeamPlan team, Consumer<Admission> answer) {
        Node node = nodes.get(name);
        long now = simulation.now();
        TokenBucket bucket = node.buckets.computeIfAbsent(team.name(), key -> new TokenBucket());
        double fraction = node.entryCount == 0 ? 0 : 1.0 / node.entryCount;
        bucket.refill(team.ratePerSecond() * fraction, team.burst() * fraction, now);
        answer.accept(
                bucket.tryAcquire()
                        ? new Admission.Admitted()
                        : new Admission.Refused(java.time.Duration.ofSeconds(1)));
    }

    private static final class Node {
        private final Map<String, TokenBucket> buckets = new HashMap<>();
        private int entryCount;
    }
}
