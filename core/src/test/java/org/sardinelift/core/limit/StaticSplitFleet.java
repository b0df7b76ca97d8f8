package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/** Each entry takes one part in as many as the list shows entries. */
final class StaticSplitFleet implements SimulatedFleet {
    private final Simulation world;
    private final Map<String, Node> nodes = new HashMap<>();

    StaticSplitFleet(Simulation world) {
        this.world = world;
    }

    @Override
    public void start(String name) {
        Node node = new Node();
        nodes.put(name, node);
        readList(name, node);
        world.scheduleEvery(name, Simulation.SECOND, () -> readList(name, node));
    }

    private void readList(String name, Node node) {
        world.callPlatform(
                name, world::listed, list -> node.parts = Math.max(1, list.size()), () -> {});
    }

    @Override
    public void request(String name, TeamPlan team, Consumer<Admission> answer) {
        Node node = nodes.get(name);
        long now = world.now();
        TokenBucket bucket = node.buckets.computeIfAbsent(team.name(), it -> new TokenBucket());
        double part = node.parts == 0 ? 0 : 1.0 / node.parts;
        bucket.refill(team.ratePerSecond() * part, team.burst() * part, now);
        answer.accept(
                bucket.tryAcquire()
                        ? new Admission.Admitted()
                        : new Admission.Refused(java.time.Duration.ofSeconds(1)));
    }

    private static final class Node {
        private final Map<String, TokenBucket> buckets = new HashMap<>();
        private int parts;
    }
}
