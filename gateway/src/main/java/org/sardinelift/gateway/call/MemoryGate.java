package org.sardinelift.gateway.call;

import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.http.HttpExchange;

/**
 * Refuses calls for good that need more memory than any target of their service has. Used on the
 * event loop.
 */
final class MemoryGate implements CallGate {
    private final ForwardingContext context;
    private final CallGate next;

    MemoryGate(ForwardingContext context, CallGate next) {
        this.context = context;
        this.next = next;
    }

    @Override
    public void admit(HttpExchange exchange, ForwardedCall call) {
        AdmittedCall admitted = call.call();
        if (!context.memory().exceedsAll(admitted.service(), admitted.tokens())) {
            next.admit(exchange, call);
            return;
        }
        String detail =
                "%d tokens, the targets of %s hold %d"
                        .formatted(
                                admitted.tokens().orElse(0),
                                admitted.service(),
                                context.memory().memory(admitted.service()).orElse(0));
        GatewayMetrics.recordMemoryRefusal("permanent");
        GatewayMetrics.recordCall(
                admitted.route().name(),
                Kind.EXCEEDS_MEMORY.label(),
                context.now() - call.arrivedAt());
        ErrorResponses.send(exchange, Kind.EXCEEDS_MEMORY, admitted.id(), detail);
    }
}
