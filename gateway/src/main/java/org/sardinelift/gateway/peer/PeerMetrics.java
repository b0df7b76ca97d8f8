package org.sardinelift.gateway.peer;

import io.prometheus.metrics.core.metrics.Counter;

/** Metrics of the reports between instances. */
final class PeerMetrics {
    private static final Counter REPORTS =
            Counter.builder()
                    .name("sardinelift_peer_reports_total")
                    .help("Reports sent, by whether they leave the availability zone")
                    .labelNames("to")
                    .register();

    private static final Counter COLD_TARGETS =
            Counter.builder()
                    .name("sardinelift_cold_targets_total")
                    .help("Targets that became cold, by reason, or whose cold time ended")
                    .labelNames("change")
                    .register();

    private PeerMetrics() {}

    static void countCold(String change) {
        COLD_TARGETS.labelValues(change).inc();
    }

    static void countSent(boolean isSameZone) {
        REPORTS.labelValues(isSameZone ? "own_zone" : "other_zone").inc();
    }

    static double sentToOtherZones() {
        return REPORTS.labelValues("other_zone").get();
    }
}
