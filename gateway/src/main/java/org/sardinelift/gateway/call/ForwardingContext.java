package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;

/**
 * The collaborators that all calls of a gateway use. Used on the event loop.
 *
 * @param settings settings of the gateway
 * @param loop event loop that handles the traffic
 * @param client sends calls to targets
 * @param targets the targets
 * @param network the other instances and the loads that they report
 * @param placement chooses targets
 * @param retryTimes schedules the retries of refused callers
 * @param headers selects the headers to forward
 * @param stallDetector finds targets that have stopped sending
 * @param memory limits of the tokens on targets
 * @param weights leaves out targets that lack the weights that a call expects
 * @param candidateFilters narrow the targets of a call, in order
 */
record ForwardingContext(
        GatewaySettings settings,
        EventLoop loop,
        HttpClient client,
        TargetTable targets,
        PeerNetwork network,
        Placement placement,
        RetryAfterSchedule retryTimes,
        ForwardedHeaders headers,
        StallDetector stallDetector,
        TargetMemoryLimits memory,
        ExpectedWeights weights,
        List<CandidateFilter> candidateFilters) {
    private static final double NANOS_PER_SECOND = 1e9;

    long now() {
        return System.nanoTime();
    }

    /**
     * Longest idle time of a connection over which calls of a route are sent. A target may have
     * dropped an idle connection without notice; it is then not known whether the call has run.
     */
    Duration maxConnectionIdle(RoutePlan route) {
        return route.mayRepeat()
                ? settings.connectionIdleTimeout()
                : settings.unrepeatableReuseTime();
    }

    /** Slots that become free each second for this gateway's callers. */
    double freedSlotsPerSecond(long now) {
        double slotsPerSecond =
                targets.all().stream()
                        .filter(target -> target.health().isUsable(now))
                        .filter(target -> !targets.isExcluded(target))
                        .mapToDouble(this::freedSlotsPerSecond)
                        .sum();
        long gateways = 1 + network.peers().livePeers(PeerRole.GATEWAY, now).count();
        return slotsPerSecond / gateways;
    }

    private double freedSlotsPerSecond(TargetTable.Target target) {
        double slots = target.registration().slots();
        double freed = slots / Math.max(1, target.health().callNanos()) * NANOS_PER_SECOND;
        return Math.min(freed, targets.rateLimit(target).orElse(freed));
    }
}
