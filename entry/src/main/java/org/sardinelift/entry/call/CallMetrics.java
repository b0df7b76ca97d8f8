package org.sardinelift.entry.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;

/** Metrics of the calls from this entry to targets. */
final class CallMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private static final Counter ATTEMPTS =
            Counter.builder()
                    .name("sardinelift_call_attempts_total")
                    .help("Attempts sent to targets")
                    .labelNames("lane", "kind")
                    .register();
    private static final Counter ENDED_CALLS =
            Counter.builder()
                    .name("sardinelift_calls_ended_total")
                    .help("Calls ended, by what the caller got")
                    .labelNames("lane", "result")
                    .register();
    private static final Counter REATTACHED_CALLS =
            Counter.builder()
                    .name("sardinelift_calls_reattached_total")
                    .help("Calls taken up again on a new connection")
                    .register();
    private static final Histogram FIRST_PART_SECONDS =
            Histogram.builder()
                    .name("sardinelift_call_first_part_seconds")
                    .help("Time from dispatch to the first part of the answer")
                    .labelNames("lane")
                    .classicUpperBounds(
                            0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.58, 1, 2.5, 5, 10, 30)
                    .register();

    private CallMetrics() {}

    static void countAttempt(String lane, boolean isRetry) {
        ATTEMPTS.labelValues(lane, isRetry ? "retry" : "first").inc();
    }

    static void countEnd(String lane, String result) {
        ENDED_CALLS.labelValues(lane, result).inc();
    }

    static void countReattached() {
        REATTACHED_CALLS.inc();
    }

    static void observeFirstPart(String lane, long nanos) {
        FIRST_PART_SECONDS.labelValues(lane).observe(nanos / NANOS_PER_SECOND);
    }
}
