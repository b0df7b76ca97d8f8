package org.sardinelift.companion.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;

/** Metrics of calls at the target. */
final class CallMetrics {
    private static final Counter ENDED =
            Counter.builder()
                    .name("sardinelift_companion_calls_total")
                    .help("Calls that ended, by lane and failure")
                    .labelNames("lane", "failure")
                    .register();
    private static final Counter PREEMPTED =
            Counter.builder()
                    .name("sardinelift_companion_preempted_total")
                    .help("Batch calls that were cut for an online call")
                    .register();
    private static final Counter RESUMED =
            Counter.builder()
                    .name("sardinelift_companion_resumed_total")
                    .help("Batch calls that went on where they were cut")
                    .register();
    private static final Counter LOST_BYTES =
            Counter.builder()
                    .name("sardinelift_companion_lost_bytes_total")
                    .help("Bytes of answers thrown away because their batch call was cut")
                    .register();
    private static final Histogram WAITED =
            Histogram.builder()
                    .name("sardinelift_companion_queue_seconds")
                    .help("Time that a call waited for a slot, by lane")
                    .labelNames("lane")
                    .register();

    private CallMetrics() {}

    static void recordEnd(String lane, String failure) {
        ENDED.labelValues(lane, failure).inc();
    }

    static void recordPreemption() {
        PREEMPTED.inc();
    }

    static void recordResume() {
        RESUMED.inc();
    }

    static void recordLostBytes(long bytes) {
        LOST_BYTES.inc(bytes);
    }

    static void recordWait(String lane, long millis) {
        WAITED.labelValues(lane).observe(millis / 1e3);
    }
}
