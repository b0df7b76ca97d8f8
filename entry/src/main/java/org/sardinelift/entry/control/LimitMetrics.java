package org.sardinelift.entry.control;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;

/** Metrics of the fleet-wide limits at this entry. */
final class LimitMetrics {
    static final Gauge SHARE_RATIO =
            Gauge.builder()
                    .name("sardinelift_limit_share_ratio")
                    .help("Part of all rates and bursts that this entry may spend by itself.")
                    .register();
    static final Counter REQUESTS =
            Counter.builder()
                    .name("sardinelift_limit_requests_total")
                    .help("Requests by how the limit was decided.")
                    .labelNames("decision")
                    .register();

    private LimitMetrics() {}
}
