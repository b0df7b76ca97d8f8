package org.sardinelift.gateway.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import org.sardinelift.core.evacuation.EvacuationChange;
import org.sardinelift.core.evacuation.ZoneEvacuations;

/** Metrics of evacuated zones; without series where evacuations aren't read. */
final class EvacuationMetrics {
    private static final Counter CHANGES =
            Counter.builder()
                    .name("sardinelift_evacuation_changes_total")
                    .help("Evacuations of zones that started or ended, by who told this instance")
                    .labelNames("change", "source")
                    .register();
    private static final Gauge EVACUATED =
            Gauge.builder()
                    .name("sardinelift_zone_evacuated")
                    .help("1 for each zone whose targets get nothing")
                    .labelNames("zone")
                    .register();

    private EvacuationMetrics() {}

    static void recordChange(EvacuationChange change) {
        boolean isFromStore = change.source().equals(ZoneEvacuations.STORE);
        CHANGES.labelValues(change.isEvacuated() ? "start" : "end", isFromStore ? "store" : "peer")
                .inc();
        if (change.isEvacuated()) {
            EVACUATED.labelValues(change.zone()).set(1);
        } else {
            EVACUATED.remove(change.zone());
        }
    }
}
