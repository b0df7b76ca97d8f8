package org.sardinelift.runtime;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Exposes the process's metrics in the Prometheus text format, version 0.0.4. */
public final class Metrics {
    /** Content type of {@link #text()}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private Metrics() {}

    /** Registers the metrics of the Java virtual machine. */
    public static void registerJvm() {
        JvmMetrics.builder().register();
    }

    /**
     * Formats all metrics of the default registry.
     *
     * @return the text
     */
    public static byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create()
                    .write(out, PrometheusRegistry.defaultRegistry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array can't fail", e);
        }
        return out.toByteArray();
    }
}
