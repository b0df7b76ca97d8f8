package org.sardinelift.core.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Approach in which each team has one owner, chosen by hash under a lease in the platform, which
 * the other entries ask.
 */
final class OwnerLeaseFleet implements SimulatedFleet {
    private static final long LEASE_DURATION = 10 * Simulation.SECOND;
    private static final long LEASE_MARGIN = 2 * Simulation.SECOND;
    private static final long ANSWER_TIMEOUT = 20 * Simulation.MS;
    private static final Admission REFUSED = new Admission.Refused(Duration.ofSeconds(1));

    private final Simulation simulation;
    private final Map<String, TeamPlan> plans;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();

    OwnerLeaseFleet(Simulation simulation, Map<String, TeamPlan> plans) {
        this.simulation = simulation;
        this.plans = plans;
    }

    @Override
    public void start(String name) {
        Node node = new Node(name);
        nodes.put(name, node);
        simulation.scheduleEvery(
                name, 3 * Simulation.SECOND, () -> node.renew(nodes.get(name) == node));
        simulation.scheduleAtNode(
                simulation.now(), name, () -> node.renew(nodes.get(name) == node));
    }

    @Override
    public void request(String name, TeamPlan team, Consumer<Admission> answer) {
        Node node = nodes.get(name);
        String owner = node.owners.get(team.name());
        if (name.equals(owner)) {
            answer.accept(node.decide(team));
            return;
        }
        boolean[] isAnswered = new boolean[1];
        Consumer<Admission> once =
                admission -> {
                    if (!isAnswered[0]) {
                        isAnswered[0] = true;
                        answer.accept(admission);
                    }
                };
        simulation.schedule(simulation.now() + ANSWER_TIMEOUT, () -> once.accept(REFUSED));
        if (owner != null) {
            simulation.sendMessage(
                    owner,
                    () -> {
                        Admission admission = nodes.get(owner).decide(team);
                        simulation.sendMessage(name, () -> once.accept(admission));
                    });
        }
    }

    private record Lease(Node holder, long until) {}

    private final class Node {
        private final String name;
        private final Map<String, String> owners = new HashMap<>();
        private final Map<String, Long> ownedUntil = new HashMap<>();
        private final Map<String, TokenBucket> buckets = new HashMap<>();

        Node(String name) {
            this.name = name;
        }

        void renew(boolean isCurrent) {
            if (!isCurrent) {
                return;
            }
            long sentAt = simulation.now();
            simulation.callPlatform(name, () -> claimLeases(sentAt), this::onLeases, () -> {});
        }

        /**
         * Runs at the platform: acquires the free leases of the teams whose hash selects this
         * entry.
         */
        private Map<String, Lease> claimLeases(long sentAt) {
            List<String> listed = simulation.listed().stream().sorted().toList();
            for (String team : plans.keySet()) {
                Lease lease = leases.get(team);
                boolean isOwn = lease != null && lease.holder() == this;
                boolean isFree = lease == null || simulation.now() > lease.until() + LEASE_MARGIN;
                boolean isChosen =
                        !listed.isEmpty()
                                && listed.get(Math.floorMod(team.hashCode(), listed.size()))
                                        .equals(name);
                if (isOwn || (isFree && isChosen)) {
                    leases.put(team, new Lease(this, sentAt + LEASE_DURATION));
                }
            }
            return Map.copyOf(leases);
        }

        private void onLeases(Map<String, Lease> read) {
            read.forEach(
                    (team, lease) -> {
                        owners.put(team, lease.holder().name);
                        if (lease.holder() == this) {
                            Long previousUntil = ownedUntil.put(team, lease.until());
                            if (previousUntil == null || previousUntil < simulation.now()) {
                                TokenBucket bucket = new TokenBucket();
                                bucket.empty(simulation.now());
                                buckets.put(team, bucket);
                            }
                        }
                    });
        }

        Admission decide(TeamPlan team) {
            Long until = ownedUntil.get(team.name());
            if (until == null || simulation.now() >= until) {
                return REFUSED;
            }
            TokenBucket bucket = buckets.get(team.name());
            bucket.refill(team.ratePerSecond(), team.burst(), simulation.now());
            return bucket.tryAcquire() ? new Admission.Admitted() : REFUSED;
        }
    }
}
