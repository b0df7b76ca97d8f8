package org.sardinelift.gateway.call;

import java.time.Duration;
import org.sardinelift.core.load.LoopDelay;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.http.HttpExchange;

/**
 * Refuses new calls while this gateway is too far behind its own work to serve them in time;
 * another one may not be. Callers that come back after a refusal and resumed streams pass.
 */
final class LoopDelayGate implements CallGate {
    private final ForwardingContext context;
    private final LoopDelay loopDelay;
    private final Duration maxDelay;
    private final CallGate next;

    LoopDelayGate(
            ForwardingContext context, LoopDelay loopDelay, Duration maxDelay, CallGate next) {
        this.context = context;
        this.loopDelay = loopDelay;
        this.maxDelay = maxDelay;
        this.next = next;
    }

    @Override
    public void admit(HttpExchange exchange, ForwardedCall forwardedCall) {
        AdmittedCall call = forwardedCall.call();
        long now = context.now();
        Duration delay = loopDelay.delay(now);
        boolean isFirstTry = call.earlierWait().isZero() && !call.isResumedStream();
        if (!isFirstTry || delay.compareTo(maxDelay) <= 0) {
            next.admit(exchange, forwardedCall);
            return;
        }
        Duration retryAfter =
                context.retryTimes()
                        .nextRetryAfter(
                                delay,
                                context.freedSlotsPerSecond(now),
                                ErrorResponses.maxRetryDelay(call.timeout()),
                                call.fingerprint(),
                                now);
        String detail =
                "this gateway is %d ms behind, at most %d ms are allowed"
                        .formatted(delay.toMillis(), maxDelay.toMillis());
        ErrorResponses.send(exchange, Kind.BEHIND, call.id(), detail, retryAfter);
        GatewayMetrics.recordCall(call.route().name(), Kind.BEHIND.label(), 0);
    }
}
