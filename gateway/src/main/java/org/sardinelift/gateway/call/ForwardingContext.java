package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.RetryAfterSchedule;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.poison.TargetDeathCounter;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;

/**
 * What all calls of a gateway have in common; on the event loop.
 *
 * @param settings bounds
 * @param loop the event loop of traffic
 * @param client sends calls to targets
 * @param table the targets
 * @param network the other instances and the loads that they report
 * @param placement chooses targets
 * @param returns tells refused callers when to come back
 * @param deaths requests that were there when targets died
 * @param headers which headers are passed on
 * @param stalls looks for targets that have fallen silent
 */
record ForwardingContext(
        GatewaySettings settings,
        EventLoop loop,
        HttpClient client,
        TargetTable targets,
        PeerNetwork network,
        Placement placement,
        RetryAfterSchedule retryTimes,
        TargetDeathCounter deaths,
        ForwardedHeaders headers,
        StallDetector stallDetector) {
    private static final double NANOS_PER_SECOND = 1e9;

    long now() {
        return System.nanoTime();
    }

    /** Slots that become free for callers of this gateway in a second. */
    double freedSlotsPerSecond(long now) {
        double slotsPerNano =
                targets.all().stream()
                        .filter(target -> target.health().isUsable(now))
                        .mapToDouble(
                                target ->
                                        (double) target.entry().slots()
                                                / Math.max(1, target.health().callNanos()))
                        .sum();
        long gateways = 1 + network.peers().livePeers(PeerRole.GATEWAY, now).count();
        return slotsPerNano * NANOS_PER_SECOND / gateways;
    }
}
