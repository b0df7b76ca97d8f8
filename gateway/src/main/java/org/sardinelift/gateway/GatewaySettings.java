package org.sardinelift.gateway;

import java.time.Duration;
import java.util.Optional;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of a gateway.
 *
 * @param node settings shared with workers
 * @param callerAddress address to which callers connect
 * @param readinessAddress address at which the load balancer checks readiness
 * @param placementMargin part of a latency objective reserved for errors in estimated waits
 * @param retryReserve part of a latency objective that first attempts of calls don't use
 * @param maxResendWait longest wait for a slot of a call that is resent after its target failed
 * @param stallTimeout minimum silence of a target after which a repeatable call is moved
 * @param typicalFirstEvent usual time from a send to the first event
 * @param typicalCallTime usual time that an online call occupies a slot
 * @param connectionIdleTimeout longest idle time of a connection to a target that is reused
 * @param unrepeatableReuseTime longest idle time of a connection over which a call is sent that
 *     must not be repeated; if it is 0, such calls use new connections only, and connections have
 *     no part in the choice of a target
 * @param maxLoopDelay delay of this gateway's own work from which it refuses new calls; empty if it
 *     refuses none for that
 * @param hasFairShares whether calls are admitted by fair shares of the teams in a shortage
 */
public record GatewaySettings(
        NodeSettings node,
        Endpoint callerAddress,
        Endpoint readinessAddress,
        Duration placementMargin,
        Duration retryReserve,
        Duration maxResendWait,
        Duration stallTimeout,
        Duration typicalFirstEvent,
        Duration typicalCallTime,
        Duration connectionIdleTimeout,
        Duration unrepeatableReuseTime,
        Optional<Duration> maxLoopDelay,
        boolean hasFairShares) {

    /**
     * Reads the settings.
     *
     * @param node root of the settings file
     * @return the settings
     */
    public static GatewaySettings read(SettingsNode node) {
        SettingsNode admission = node.object("admission");
        return new GatewaySettings(
                NodeSettings.read(node),
                Endpoint.read(node, "caller"),
                Endpoint.read(node, "ready"),
                // Two network hops and the jitter of the report on an earlier call.
                node.millis("placementMarginMs", 30),
                // Roughly the interval at which a target with eight slots frees one.
                node.millis("keptForReturnersMs", 60),
                // A fifth of the usual deadline; a resent call has already missed its objective.
                node.millis("resendWaitMs", 1_000),
                // Several times the usual gap between events, less than half of the allowed gap.
                node.millis("stallMs", 180),
                // Setup, prefill of a usual prompt and the engine steps up to the first event.
                node.millis("firstEventMs", 55),
                // Engine steps of a usual response with all slots in use.
                node.millis("callMs", 750),
                // Well under the idle time after which targets close connections.
                node.millis("connectionIdleMs", 2_000),
                node.millis("unrepeatableReuseMs", 0),
                maxLoopDelay(admission),
                admission.flag("fairShares", false));
    }

    private static Optional<Duration> maxLoopDelay(SettingsNode node) {
        Duration delay = node.millis("maxLoopDelayMs", 0);
        return delay.isZero() ? Optional.empty() : Optional.of(delay);
    }
}
