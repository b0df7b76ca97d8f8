package org.sardinelift.gateway.call;

import java.util.Set;
import org.sardinelift.core.admission.FairAdmission;
import org.sardinelift.core.admission.ShareDecision;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.peer.FairShareReports;
import org.sardinelift.http.HttpExchange;

/**
 * Refuses calls of teams above their share while the targets of a service are short, unless a slot
 * is free, which no call of another team then waits for. Used on the event loop.
 */
final class FairShareGate implements CallGate {
    private final ForwardingContext context;
    private final CallGate next;

    FairShareGate(ForwardingContext context, CallGate next) {
        this.context = context;
        this.next = next;
    }

    @Override
    public void admit(HttpExchange exchange, ForwardedCall call) {
        // A stream that is resumed has been admitted before.
        if (call.call().isResumedStream() || isWithinShare(exchange, call)) {
            next.admit(exchange, call);
        }
    }

    private boolean isWithinShare(HttpExchange exchange, ForwardedCall call) {
        AdmittedCall admitted = call.call();
        FairShareReports shares = context.network().shares();
        FairAdmission service = shares.service(admitted.service());
        long now = context.now();
        ShareDecision decision =
                service.decide(
                        new FairAdmission.Call(
                                admitted.team(),
                                !admitted.earlierWait().isZero(),
                                ErrorResponses.maxRetryDelay(admitted.timeout()),
                                // Differs between the attempts of a call.
                                admitted.fingerprint() ^ now),
                        now);
        if (!(decision instanceof ShareDecision.AboveShare above)) {
            return true;
        }
        if (hasFreeSlot(call, now)) {
            service.onFreeSlotUsed(admitted.team(), now);
            GatewayMetrics.recordAboveShare("free_slot");
            return true;
        }
        GatewayMetrics.recordAboveShare("refused");
        GatewayMetrics.recordCall(admitted.route().name(), Kind.OVER_SHARE.label(), 0);
        String detail =
                "team %s of service %s: %s, waited %d ms"
                        .formatted(
                                admitted.team(),
                                admitted.service(),
                                above.describe(),
                                admitted.earlierWait().toMillis());
        ErrorResponses.send(exchange, Kind.OVER_SHARE, admitted.id(), detail, above.retryAfter());
        return false;
    }

    private boolean hasFreeSlot(ForwardedCall call, long now) {
        return context.targets().usableLoads(call.group(), Set.of(), now).stream()
                .anyMatch(TargetLoad::isFreeForOnline);
    }
}
