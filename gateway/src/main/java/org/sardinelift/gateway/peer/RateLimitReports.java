package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinelift.core.load.CallRate;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.quota.AdmittedCount;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;
import org.sardinelift.core.quota.StrictSharing;
import org.sardinelift.core.quota.TargetRateLimits;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.generated.LimitedTarget;
import org.sardinelift.protocol.generated.PeerReport;

/**
 * The limits that targets state on the rate of their requests, kept equal with the other instances
 * by reports: limits and requests to limited targets as they change, all limits in full reports, so
 * that an instance that has just started knows them too. On the event loop.
 */
public final class RateLimitReports implements ReportSection {
    /** Keeps a report far below the longest datagram. */
    private static final int MAX_REPORTED_TARGETS = 300;

    /**
     * Silence of a peer from which on its part of a cold target's limit is reserved: more than one
     * report to other zones, and so short that the calls offered meanwhile stay within the bound.
     */
    private static final Duration STRICT_SILENCE_TIMEOUT = Duration.ofMillis(350);

    /** Time in which the instances that report to the first peer report here as well. */
    private static final Duration FLEET_SETTLE_TIME = Duration.ofSeconds(1);

    private static final Duration CALL_RATE_WINDOW = Duration.ofSeconds(1);

    private final FleetQuota quota;
    private final TargetRateLimits limits;
    private final ColdTargetLimits cold;
    private final CallRate ownCalls = CallRate.averagedOver(CALL_RATE_WINDOW);
    private final Map<String, Double> callsPerSecondOfPeers = new HashMap<>();
    private double fleetCallsPerSecond;

    /**
     * Creates the state of an instance that knows no limits.
     *
     * @param bounds timeouts after which peers are taken as silent
     * @param settings name of this instance and size of the fleet
     */
    RateLimitReports(QuotaBounds bounds, NodeSettings settings) {
        long now = System.nanoTime();
        this.quota = FleetQuota.create(bounds, now);
        quota.shareStrictly(
                new StrictSharing(
                        STRICT_SILENCE_TIMEOUT,
                        settings.maxInstances(),
                        FLEET_SETTLE_TIME,
                        settings.instance().hashCode() ^ now),
                now);
        this.limits = TargetRateLimits.create(quota, ReportBuilder.CHANGE_REPEAT_PERIOD);
        this.cold = new ColdTargetLimits(limits);
    }

    /**
     * The limits.
     *
     * @return limits by incarnation of the target
     */
    public TargetRateLimits limits() {
        return limits;
    }

    /**
     * The targets that are limited as cold ones.
     *
     * @return the targets
     */
    public ColdTargetLimits cold() {
        return cold;
    }

    /** All instances in the store were added. */
    void onInstancesListed() {
        quota.onInstancesListed(System.nanoTime());
    }

    /**
     * A call of a caller arrived here.
     *
     * @param now the time, nanoseconds
     */
    public void onCallArrived(long now) {
        ownCalls.onCall(now);
    }

    /**
     * Rate at which calls arrive at all live instances.
     *
     * @return calls per second, at most a tick old
     */
    public double fleetCallsPerSecond() {
        return fleetCallsPerSecond;
    }

    @Override
    public void onPeerAdded(String name, PeerRole role, long now) {
        quota.onPeerAdded(name, now);
    }

    @Override
    public void onPeerRemoved(String name) {
        quota.onPeerRemoved(name);
        callsPerSecondOfPeers.remove(name);
    }

    @Override
    public void onPause(long now) {
        quota.onPause(now);
    }

    @Override
    public void tick(PeerTable peers, long now) {
        quota.detectSilentPeers(now);
        cold.tick(now);
        fleetCallsPerSecond =
                ownCalls.perSecond(now)
                        + peers.all().stream()
                                .filter(peer -> peers.isLive(peer, now))
                                .map(Peer::name)
                                .mapToDouble(name -> callsPerSecondOfPeers.getOrDefault(name, 0.0))
                                .sum();
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        report.setCallsPerSecond(ownCalls.perSecond(now));
        List<LimitedTarget> targets =
                limits.reports(isFull, now).stream()
                        .limit(MAX_REPORTED_TARGETS)
                        .map(target -> toReport(target, now))
                        .toList();
        if (!targets.isEmpty()) {
            report.setLimitedTargets(targets);
        }
    }

    private static LimitedTarget toReport(TargetRateLimits.Report target, long now) {
        long sentSinceMs = TimeUnit.NANOSECONDS.toMillis(target.sent().ageNanos());
        LimitedTarget limited =
                new LimitedTarget(target.target(), target.sent().calls(), sentSinceMs);
        target.statement()
                .ifPresent(
                        statement -> {
                            limited.setAgeMs(TimeUnit.NANOSECONDS.toMillis(now - statement.at()));
                            statement.perSecond().ifPresent(limited::setPerSecond);
                        });
        target.coldLeftNanos()
                .ifPresent(left -> limited.setRemainingColdMs(TimeUnit.NANOSECONDS.toMillis(left)));
        return limited;
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        callsPerSecondOfPeers.put(peer.name(), report.getCallsPerSecond());
        List<LimitedTarget> targets =
                report.isSetLimitedTargets() ? report.getLimitedTargets() : List.of();
        targets.forEach(
                target ->
                        cold.onPeerReport(
                                peer.name(),
                                target.getTarget(),
                                target.isSetRemainingColdMs() ? target.getRemainingColdMs() : 0,
                                now));
        targets.stream()
                .filter(LimitedTarget::isSetAgeMs)
                .forEach(target -> onStatement(peer, target, now));
        Map<String, AdmittedCount> counts =
                targets.stream()
                        .filter(target -> target.getSent() > 0)
                        .collect(
                                Collectors.toMap(
                                        LimitedTarget::getTarget,
                                        RateLimitReports::toAdmittedCount,
                                        (first, second) -> second));
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.getAgeMs());
        quota.onReport(peer.name(), peer.incarnation(), ageNanos, counts, now);
    }

    private void onStatement(Peer peer, LimitedTarget target, long now) {
        OptionalDouble perSecond =
                target.isSetPerSecond()
                        ? OptionalDouble.of(target.getPerSecond())
                        : OptionalDouble.empty();
        long at = now - TimeUnit.MILLISECONDS.toNanos(target.getAgeMs());
        limits.onPeerStatement(
                        target.getTarget(), new TargetRateLimits.Statement(perSecond, at), now)
                .ifPresent(
                        change ->
                                RateLimitLog.logChange(
                                        target.getTarget(), change, "peer " + peer.name(), -1));
    }

    private static AdmittedCount toAdmittedCount(LimitedTarget target) {
        return new AdmittedCount(
                target.getSent(), TimeUnit.MILLISECONDS.toNanos(target.getSentSinceMs()));
    }
}
