package org.sardinelift.gateway.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.peer.FairShareReports;
import org.sardinelift.gateway.peer.PeerNetwork;

/** Tells how many slots of each service are in use. Used on the event loop. */
final class ShortageSampler implements FairShareReports.Sampler {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TargetTable targets;
    private final PeerNetwork network;

    ShortageSampler(TargetTable targets, PeerNetwork network) {
        this.targets = targets;
        this.network = network;
    }

    @Override
    public Map<String, FairShareReports.Sample> sample(long now) {
        Map<String, String> serviceByTarget =
                targets.all().stream()
                        .collect(
                                Collectors.toMap(
                                        TargetTable.Target::id,
                                        target -> target.registration().service()));
        Map<String, List<TargetLoad>> loads =
                targets.usableLoads(now).stream()
                        .collect(
                                Collectors.groupingBy(
                                        load -> serviceByTarget.getOrDefault(load.id(), "")));
        int gateways = 1 + (int) network.peers().livePeers(PeerRole.GATEWAY, now).count();
        Map<String, FairShareReports.Sample> samples = new HashMap<>();
        Set<String> services = new HashSet<>(serviceByTarget.values());
        services.forEach(
                service ->
                        samples.put(
                                service, sum(loads.getOrDefault(service, List.of()), gateways)));
        return samples;
    }

    private FairShareReports.Sample sum(List<TargetLoad> loads, int gateways) {
        return new FairShareReports.Sample(
                loads.stream().mapToInt(load -> load.calls().online()).sum(),
                loads.stream().mapToDouble(this::slots).sum(),
                gateways);
    }

    /** Slots that calls can use: a rate limit may leave some of them unused. */
    private double slots(TargetLoad load) {
        double limit =
                targets.find(load.id())
                        .map(targets::rateLimit)
                        .filter(rate -> rate.isPresent())
                        .map(rate -> rate.getAsDouble() * load.callNanos() / NANOS_PER_SECOND)
                        .orElse(Double.POSITIVE_INFINITY);
        return Math.min(load.slots(), limit);
    }
}
