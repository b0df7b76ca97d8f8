package org.sardinelift.runtime;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Distributed tracing: spans whose context is propagated as W3C trace context. */
public final class Telemetry implements AutoCloseable {
    private static final int TRACEPARENT_LENGTH = 55;
    private static final int TRACE_ID_START = 3;
    private static final int SPAN_ID_START = 36;
    private static final int TRACE_FLAGS_START = 53;
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    private Telemetry(SdkTracerProvider provider) {
        this.provider = provider;
        this.tracer = provider.get("org.sardinelift");
    }

    /**
     * Starts tracing.
     *
     * @param instance name of this instance
     * @param file file to which each span is appended as a line of JSON, or empty for none
     * @param otlpEndpoint URL of an OTLP collector, or empty for none
     * @param sampleRatio fraction of new traces that are recorded, 0 to 1
     * @return the running telemetry
     */
    public static Telemetry start(
            String instance,
            Optional<Path> file,
            Optional<String> otlpEndpoint,
            double sampleRatio) {
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder()
                        .setResource(
                                Resource.create(
                                        Attributes.of(
                                                AttributeKey.stringKey("service.name"),
                                                "sardinelift",
                                                AttributeKey.stringKey("service.instance.id"),
                                                instance)))
                        .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)));
        file.map(JsonLinesSpanExporter::open)
                .map(exporter -> BatchSpanProcessor.builder(exporter).build())
                .ifPresent(builder::addSpanProcessor);
        otlpEndpoint
                .map(url -> OtlpHttpSpanExporter.builder().setEndpoint(url).build())
                .map(exporter -> BatchSpanProcessor.builder(exporter).build())
                .ifPresent(builder::addSpanProcessor);
        return new Telemetry(builder.build());
    }

    /**
     * Starts a span.
     *
     * @param name name of the span, such as {@code entry.queue}
     * @param kind client, server or internal
     * @param traceparent W3C trace context of the parent, empty for a new trace
     * @return the started span; the caller must end it
     */
    public Span startSpan(String name, SpanKind kind, String traceparent) {
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parse(traceparent)).startSpan();
    }

    /**
     * W3C trace context of a span, for the next process or span.
     *
     * @param span the span
     * @return header value, empty if the span's context is invalid
     */
    public static String traceparent(Span span) {
        SpanContext context = span.getSpanContext();
        if (!context.isValid()) {
            return "";
        }
        return "00-"
                + context.getTraceId()
                + "-"
                + context.getSpanId()
                + "-"
                + context.getTraceFlags().asHex();
    }

    private static Context parse(String traceparent) {
        if (traceparent.length() != TRACEPARENT_LENGTH) {
            return Context.root();
        }
        SpanContext parent =
                SpanContext.createFromRemoteParent(
                        traceparent.substring(TRACE_ID_START, SPAN_ID_START - 1),
                        traceparent.substring(SPAN_ID_START, TRACE_FLAGS_START - 1),
                        TraceFlags.fromHex(traceparent, TRACE_FLAGS_START),
                        TraceState.getDefault());
        return parent.isValid() ? Context.root().with(Span.wrap(parent)) : Context.root();
    }

    /** Exports the remaining spans and stops. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
