package org.sardinelift.gateway.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;

/** Metrics of a gateway's calls. */
final class GatewayMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private static final Counter CALLS =
            Counter.builder()
                    .name("sardinelift_gateway_calls_total")
                    .help("Calls ended, by route and what the caller got")
                    .labelNames("route", "result")
                    .register();
    private static final Counter ATTEMPTS =
            Counter.builder()
                    .name("sardinelift_gateway_attempts_total")
                    .help("Attempts at targets, by how they ended")
                    .labelNames("end")
                    .register();
    private static final Histogram FIRST_EVENT_SECONDS =
            Histogram.builder()
                    .name("sardinelift_gateway_first_event_seconds")
                    .help("Time from a call's arrival to its first event")
                    .labelNames("route")
                    .classicUpperBounds(0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5)
                    .register();
    private static final Histogram CALL_SECONDS =
            Histogram.builder()
                    .name("sardinelift_gateway_call_seconds")
                    .help("Time from a call's arrival to the end of its answer")
                    .labelNames("route")
                    .classicUpperBounds(0.1, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5)
                    .register();

    private static final Counter RESUMED_STREAMS =
            Counter.builder()
                    .name("sardinelift_gateway_resumed_streams_total")
                    .help("Streams resumed by callers, by how their version was found or why not")
                    .labelNames("result")
                    .register();

    private static final Counter MEMORY_REFUSALS =
            Counter.builder()
                    .name("sardinelift_gateway_memory_refusals_total")
                    .help("Calls refused since they fit into the memory of no target")
                    .labelNames("kind")
                    .register();

    private static final Counter ABOVE_SHARE_CALLS =
            Counter.builder()
                    .name("sardinelift_gateway_above_share_calls_total")
                    .help("Calls of teams above their share in a shortage, by what became of them")
                    .labelNames("result")
                    .register();

    private GatewayMetrics() {}

    static void recordMemoryRefusal(String kind) {
        MEMORY_REFUSALS.labelValues(kind).inc();
    }

    static void recordAboveShare(String result) {
        ABOVE_SHARE_CALLS.labelValues(result).inc();
    }

    static void recordResume(String result) {
        RESUMED_STREAMS.labelValues(result).inc();
    }

    static void recordCall(String route, String result, long nanos) {
        CALLS.labelValues(route, result).inc();
        CALL_SECONDS.labelValues(route).observe(nanos / NANOS_PER_SECOND);
    }

    static void recordAttempt(String end) {
        ATTEMPTS.labelValues(end).inc();
    }

    static void recordFirstEvent(String route, long nanos) {
        FIRST_EVENT_SECONDS.labelValues(route).observe(nanos / NANOS_PER_SECOND);
    }
}
