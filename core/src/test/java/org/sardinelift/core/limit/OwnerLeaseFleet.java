package org.sardinelift.core.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/** One owner for each team, chosen by hash, under a lease in the platform; others ask it. */
final class OwnerLeaseFleet implements SimulatedFleet {
    private static final long LEASE = 10 * Simulation.SECOND;
    private static final long MARGIN = 2 * Simulation.SECOND;
    private static final long ASK_BOUND = 20 * Simulation.MS;
    private static final Admission REFUSED = new Admission.Refused(Duration.ofSeconds(1));

    private final Simulation world;
    private final Map<String, TeamPlan> plans;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();

    OwnerLeaseFleet(Simulation world, Map<String, TeamPlan> plans) {
        this.world = world;
        this.plans = plans;
    }

    @Override
    public void start(String name) {
        Node node = new Node(name);
        nodes.put(name, node);
        world.scheduleEvery(name, 3 * Simulation.SECOND, () -> node.renew(nodes.get(name) == node));
        world.scheduleAtNode(world.now(), name, () -> node.renew(nodes.get(name) == node));
    }

    @Override
    public void request(String name, TeamPlan team, Consumer<Admission> answer) {
        Node node = nodes.get(name);
        String owner = node.owners.get(team.name());
        if (name.equals(owner)) {
            answer.accept(node.decide(team));
            return;
        }
        boolean[] done = new boolean[1];
        Consumer<Admission> once =
                admission -> {
                    if (!done[0]) {
                        done[0] = true;
                        answer.accept(admission);
                    }
                };
        world.schedule(world.now() + ASK_BOUND, () -> once.accept(REFUSED));
        if (owner != null) {
            world.sendMessage(
                    owner,
                    () -> {
                        Admission admission = nodes.get(owner).decide(team);
                        world.sendMessage(name, () -> once.accept(admission));
                    });
        }
    }

    private record Lease(Node holder, long until) {}

    private final class Node {
        private final String name;
        private final Map<String, String> owners = new HashMap<>();
        private final Map<String, Long> heldUntil = new HashMap<>();
        private final Map<String, TokenBucket> buckets = new HashMap<>();

        Node(String name) {
            this.name = name;
        }

        void renew(boolean current) {
            if (!current) {
                return;
            }
            long sent = world.now();
            world.callPlatform(name, () -> claim(sent), this::learn, () -> {});
        }

        /** Runs at the platform: takes free leases of the teams that hash here. */
        private Map<String, Lease> claim(long sent) {
            List<String> listed = world.listed().stream().sorted().toList();
            for (String team : plans.keySet()) {
                Lease lease = leases.get(team);
                boolean mine = lease != null && lease.holder() == this;
                boolean free = lease == null || world.now() > lease.until() + MARGIN;
                boolean chosen =
                        !listed.isEmpty()
                                && listed.get(Math.floorMod(team.hashCode(), listed.size()))
                                        .equals(name);
                if (mine || (free && chosen)) {
                    leases.put(team, new Lease(this, sent + LEASE));
                }
            }
            return Map.copyOf(leases);
        }

        private void learn(Map<String, Lease> read) {
            read.forEach(
                    (team, lease) -> {
                        owners.put(team, lease.holder().name);
                        if (lease.holder() == this) {
                            Long held = heldUntil.put(team, lease.until());
                            if (held == null || held < world.now()) {
                                TokenBucket meter = new TokenBucket();
                                meter.empty(world.now());
                                buckets.put(team, meter);
                            }
                        }
                    });
        }

        Admission decide(TeamPlan team) {
            Long until = heldUntil.get(team.name());
            if (until == null || world.now() >= until) {
                return REFUSED;
            }
            TokenBucket bucket = buckets.get(team.name());
            bucket.refill(team.ratePerSecond(), team.burst(), world.now());
            return bucket.tryAcquire() ? new Admission.Admitted() : REFUSED;
        }
    }
}
