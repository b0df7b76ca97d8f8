package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.admission.FairAdmission;
import org.sardinelift.core.admission.ReportedDemand;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.ServiceDemand;
import org.sardinelift.protocol.generated.TeamDemand;
import org.sardinelift.runtime.log.LogEvent;

/**
 * The demands of teams for services whose targets are short. Inactive until {@link #enable}: it
 * then reports nothing and ignores what others report. Used on the event loop.
 */
public final class FairShareReports implements ReportSection {
    /** Bound on services of reports, which a faulty peer can't exceed. */
    private static final int MAX_SERVICES = 1_000;

    private final Map<String, FairAdmission> services = new HashMap<>();
    private Duration typicalCallTime = Duration.ofSeconds(1);
    private @Nullable Sampler sampler;
    private boolean isFleetReport;
    private boolean hasLoggedMalformed;

    /** Tells how many slots are in use. */
    public interface Sampler {
        /**
         * Returns the use of slots.
         *
         * @param now the time, nanoseconds
         * @return use by service
         */
        Map<String, Sample> sample(long now);
    }

    /**
     * Calls on the targets of a service.
     *
     * @param calls calls on the targets, those in their queues included
     * @param slots slots that calls can use
     * @param gateways live gateways, this one included
     */
    public record Sample(double calls, double slots, int gateways) {}

    /**
     * Begins to account for demands; before the start.
     *
     * @param newSampler tells how many slots are in use
     * @param callTime usual time that a call occupies a slot, until calls have shown it
     */
    public void enable(Sampler newSampler, Duration callTime) {
        sampler = newSampler;
        typicalCallTime = callTime;
    }

    /**
     * Returns whether demands are accounted for.
     *
     * @return false if the feature is off
     */
    public boolean isEnabled() {
        return sampler != null;
    }

    /**
     * Returns the admission to a service.
     *
     * @param name name of the service
     * @return its state
     */
    public FairAdmission service(String name) {
        return services.computeIfAbsent(
                name, each -> FairAdmission.create(typicalCallTime, team -> 1));
    }

    /** The next report goes to all instances. Only such reports have demands, to save bytes. */
    void onFleetReport() {
        isFleetReport = true;
    }

    @Override
    public void onPeerRemoved(String name) {
        services.values().forEach(service -> service.onPeerRemoved(name));
    }

    @Override
    public void tick(PeerTable peers, long now) {
        if (sampler != null) {
            sampler.sample(now).forEach((name, sample) -> onSample(name, sample, now));
        }
    }

    private void onSample(String name, Sample sample, long now) {
        FairAdmission service = service(name);
        if (service.onSample(sample.calls(), sample.slots(), sample.gateways(), now)) {
            LogEvent.of(service.isShort() ? "shortage.begun" : "shortage.ended")
                    .with("service", name)
                    .with("calls", "%.1f".formatted(sample.calls()))
                    .with("slots", "%.1f".formatted(sample.slots()))
                    .with("gateways", sample.gateways())
                    .info();
        }
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        if (!isFleetReport) {
            return;
        }
        isFleetReport = false;
        List<ServiceDemand> demands =
                services.entrySet().stream()
                        .flatMap(service -> demand(service, now).stream())
                        .toList();
        if (!demands.isEmpty()) {
            report.setDemands(demands);
        }
    }

    private static Optional<ServiceDemand> demand(
            Map.Entry<String, FairAdmission> service, long now) {
        return service.getValue()
                .report(now)
                .map(
                        demand ->
                                new ServiceDemand(
                                        service.getKey(),
                                        demand.slotsByTeam().entrySet().stream()
                                                .map(
                                                        team ->
                                                                new TeamDemand(
                                                                        team.getKey(),
                                                                        team.getValue()))
                                                .toList(),
                                        demand.otherTeams(),
                                        demand.otherSlots()));
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        if (sampler == null || !report.isSetDemands() || peer.role() != PeerRole.GATEWAY) {
            return;
        }
        if (report.getDemands().size() > MAX_SERVICES
                || !report.getDemands().stream().allMatch(FairShareReports::isValid)) {
            logMalformed(peer);
            return;
        }
        report.getDemands().stream()
                .filter(demand -> services.containsKey(demand.getServiceName()))
                .forEach(
                        demand ->
                                service(demand.getServiceName())
                                        .onReport(peer.name(), toReported(demand), now));
    }

    private void logMalformed(Peer peer) {
        if (!hasLoggedMalformed) {
            hasLoggedMalformed = true;
            LogEvent.of("shortage.malformed_report").with("peer", peer.name()).warn();
        }
    }

    private static boolean isValid(ServiceDemand demand) {
        return demand.getServiceName() != null
                && demand.getTeams() != null
                && demand.getTeams().size() <= ReportedDemand.MAX_TEAMS
                && demand.getOtherTeams() >= 0
                && isValid(demand.getOtherSlots())
                && demand.getTeams().stream()
                        .allMatch(team -> team.getTeam() != null && isValid(team.getSlots()));
    }

    private static boolean isValid(double slots) {
        return Double.isFinite(slots) && slots >= 0;
    }

    private static ReportedDemand toReported(ServiceDemand demand) {
        return new ReportedDemand(
                demand.getTeams().stream()
                        .collect(
                                Collectors.toMap(
                                        TeamDemand::getTeam, TeamDemand::getSlots, Double::sum)),
                demand.getOtherTeams(),
                demand.getOtherSlots());
    }

    /**
     * A call found no room at the targets of its service.
     *
     * @param service name of the service
     * @param team its team
     * @param longest longest Retry-After that its caller honours
     * @param now the time, nanoseconds
     * @return when the caller is to return, or empty if the feature doesn't decide it
     */
    public Optional<Duration> onNoRoom(String service, String team, Duration longest, long now) {
        if (!isEnabled()) {
            return Optional.empty();
        }
        service(service).onNoRoom(team, now);
        return service(service).retryAfterNoRoom(longest, now);
    }

    /**
     * A call was completed.
     *
     * @param service name of the service
     * @param team its team
     * @param slotNanos time that it occupied its slot, nanoseconds
     * @param now the time, nanoseconds
     */
    public void onCompleted(String service, String team, long slotNanos, long now) {
        if (isEnabled()) {
            service(service).onCompleted(team, Duration.ofNanos(slotNanos), now);
        }
    }
}
