package org.sardinelift.companion;

import io.prometheus.metrics.core.metrics.Gauge;
import org.sardinelift.protocol.generated.LoadReport;

/** Gauges of the target's load as last reported to the entries. */
final class LoadMetrics {
    private static final Gauge SLOTS =
            Gauge.builder()
                    .name("sardinelift_companion_slots")
                    .help("Calls that the target runs at once.")
                    .register();
    private static final Gauge RUNNING =
            Gauge.builder()
                    .name("sardinelift_companion_running")
                    .help("Calls at the target, by lane.")
                    .labelNames("lane")
                    .register();
    private static final Gauge QUEUED =
            Gauge.builder()
                    .name("sardinelift_companion_online_queued")
                    .help("Online calls that wait for a slot.")
                    .register();
    private static final Gauge TARGET_UP =
            Gauge.builder()
                    .name("sardinelift_companion_target_up")
                    .help("1 while the target answers, else 0.")
                    .register();

    private LoadMetrics() {}

    static void update(LoadReport report) {
        SLOTS.set(report.getSlots());
        RUNNING.labelValues("ONLINE").set(report.getOnlineRunning());
        RUNNING.labelValues("BATCH").set(report.getBatchRunning());
        QUEUED.set(report.getOnlineQueued());
        TARGET_UP.set(report.isHealthy() ? 1 : 0);
    }
}
