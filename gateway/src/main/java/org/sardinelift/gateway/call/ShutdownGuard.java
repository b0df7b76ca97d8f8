package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.function.Supplier;
import org.sardinelift.core.admission.ShutdownWindow;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpExchange;

/**
 * Refuses calls that this gateway may not have answered when it exits, on every path on which
 * callers give it work. Used on the event loop.
 */
final class ShutdownGuard {
    /** Another gateway may take the call at once. */
    private static final Duration OTHER_GATEWAY_RETRY_AFTER = Duration.ZERO;

    /** Usual time of a restart, for callers that no other gateway could serve. */
    private static final Duration RESTART_RETRY_AFTER = Duration.ofSeconds(1);

    private final Supplier<ShutdownWindow> window;
    private final PeerNetwork network;

    ShutdownGuard(Supplier<ShutdownWindow> window, PeerNetwork network) {
        this.window = window;
        this.network = network;
    }

    /** Whether a call that ends within a time limit ends before this gateway exits. */
    boolean allows(Duration timeLimit) {
        return window.get().fits(timeLimit, System.nanoTime());
    }

    /** Refuses a call that has not run; the response announces the close of its connection. */
    void refuse(HttpExchange exchange, String callId, Duration timeLimit) {
        long now = System.nanoTime();
        boolean hasOtherGateway =
                network.peers().livePeers(PeerRole.GATEWAY, now).findAny().isPresent();
        Duration retryAfter = hasOtherGateway ? OTHER_GATEWAY_RETRY_AFTER : RESTART_RETRY_AFTER;
        String detail = window.get().describe(timeLimit, now);
        ErrorResponses.send(exchange, Kind.STOPPING, callId, detail, retryAfter);
    }
}
