package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinelift.core.evacuation.ZoneEvacuations;
import org.sardinelift.core.plan.TargetGroup;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.peer.EvacuationReports;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpExchange;

/** Refuses calls whose targets are all in evacuated zones. */
final class EvacuationRefusal {
    private EvacuationRefusal() {}

    /**
     * Refuses a call. Nobody knows when the evacuations end, so its caller is told to come back as
     * late as it can.
     */
    static void send(
            HttpExchange exchange,
            AdmittedCall call,
            TargetGroup group,
            PeerNetwork network,
            Duration left,
            long now) {
        String zones =
                network.evacuations().map(EvacuationReports::state).stream()
                        .flatMap(state -> state.evacuations().stream())
                        .map(each -> describe(each, now))
                        .collect(Collectors.joining(", "));
        ErrorResponses.send(
                exchange,
                Kind.ZONES_EVACUATED,
                call.id(),
                "all targets of %s are in evacuated zones: %s".formatted(group, zones),
                ErrorResponses.maxRetryDelay(left));
    }

    private static String describe(ZoneEvacuations.Evacuation evacuation, long now) {
        return "%s since %d ms (revision %d, %s)"
                .formatted(
                        evacuation.zone(),
                        TimeUnit.NANOSECONDS.toMillis(now - evacuation.startedAt()),
                        evacuation.revision(),
                        evacuation.source());
    }
}
