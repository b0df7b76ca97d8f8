package org.sardinelift.gateway.feed;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.Locale;

/** Metrics of the record of software versions, of gateways and workers. */
final class VersionRecordMetrics {
    private static final Counter CALLS =
            Counter.builder()
                    .name("sardinelift_version_record_calls_total")
                    .help("Reads and writes of the record of software versions, by result")
                    .labelNames("result")
                    .register();

    private VersionRecordMetrics() {}

    /** Counts a store call by the name of its result: found, absent, written, conflict, ... */
    static void count(Object result) {
        CALLS.labelValues(name(result)).inc();
    }

    static void countUnreadable() {
        CALLS.labelValues("unreadable").inc();
    }

    static String name(Object result) {
        return result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }
}
