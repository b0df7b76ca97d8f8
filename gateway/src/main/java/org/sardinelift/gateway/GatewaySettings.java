package org.sardinelift.gateway;

import java.time.Duration;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of a gateway.
 *
 * @param node what it has in common with workers
 * @param caller address that callers reach
 * @param ready address at which the balancer asks whether it is ready
 * @param placementMargin part of an objective kept for what estimates of waits miss
 * @param keptForReturners part of an objective that calls which come for the first time don't use
 * @param resendWait longest wait for a slot of a call that is sent again after its target failed
 * @param stall least silence of a target after which a call that may be repeated is moved
 * @param firstEvent usual time from a send to the first event
 * @param callTime usual time that an online call holds a slot
 * @param connectionIdleTimeout longest idle time of a connection to a target that is used again
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
        Duration connectionIdleTimeout) {

    /**
     * Reads the settings.
     *
     * @param node root of the settings file
     * @return the settings
     */
    public static GatewaySettings read(SettingsNode node) {
        return new GatewaySettings(
                NodeSettings.read(node),
                Endpoint.read(node, "caller"),
                Endpoint.read(node, "ready"),
                // Two network hops and the jitter of the report of a call that came before.
                node.millis("placementMarginMs", 30),
                // A slot of a target with eight comes free about so often.
                node.millis("keptForReturnersMs", 60),
                // A fifth of the usual deadline: such a call has lost its objective already.
                node.millis("resendWaitMs", 1_000),
                // Several times the usual pause between events, under half of the pause allowed.
                node.millis("stallMs", 180),
                // Set-up, prefill of a usual prompt and the steps of the first event.
                node.millis("firstEventMs", 55),
                // Steps of a usual answer with all slots taken.
                node.millis("callMs", 750),
                // Well under the idle time after which targets close connections.
                node.millis("connectionIdleMs", 2_000));
    }
}
