package org.sardinelift.gateway;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinelift.http.ResponseMemory;

/** Metrics of the memory that incomplete responses hold in this process. */
final class ResponseMemoryMetrics {
    private static final AtomicBoolean IS_REGISTERED = new AtomicBoolean();

    private ResponseMemoryMetrics() {}

    /** Registers the metrics, once for the process. */
    static void register() {
        if (!IS_REGISTERED.compareAndSet(false, true)) {
            return;
        }
        ResponseMemory memory = ResponseMemory.ofProcess();
        GaugeWithCallback.builder()
                .name("sardinelift_held_response_bytes")
                .help("Bytes that incomplete responses hold in memory")
                .callback(callback -> callback.call(memory.totalBytes()))
                .register();
        CounterWithCallback.builder()
                .name("sardinelift_evicted_responses_total")
                .help("Responses failed since incomplete ones held too much memory")
                .callback(callback -> callback.call(memory.evictionCount()))
                .register();
    }
}
