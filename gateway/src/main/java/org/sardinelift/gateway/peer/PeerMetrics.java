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

    private PeerMetrics() {}

    static void countSent(boolean isSameZone) {
        REPORTS.labelValues(isSameZone ? "own_zone" : "other_zone").inc();
    }

    static double sentToOtherZones() {
        return REPORTS.labelValues("other_zone").get();
    }
}
