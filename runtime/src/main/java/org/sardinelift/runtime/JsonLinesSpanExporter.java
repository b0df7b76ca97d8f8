package org.sardinelift.runtime;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;

/** Span exporter that appends each span to a file as one line of JSON. */
final class JsonLinesSpanExporter implements SpanExporter {
    private final ObjectMapper mapper = new ObjectMapper();
    private final BufferedWriter writer;

    private JsonLinesSpanExporter(BufferedWriter writer) {
        this.writer = writer;
    }

    static SpanExporter open(Path file) {
        try {
            return new JsonLinesSpanExporter(
                    Files.newBufferedWriter(
                            file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "the trace file " + file + " can't be written; choose another path", e);
        }
    }

    @Override
    public synchronized CompletableResultCode export(Collection<SpanData> spans) {
        try {
            for (SpanData span : spans) {
                writer.write(line(span));
                writer.newLine();
            }
            writer.flush();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofFailure();
        }
    }

    private String line(SpanData span) {
        ObjectNode node = mapper.createObjectNode();
        node.put("traceId", span.getTraceId());
        node.put("spanId", span.getSpanId());
        node.put("parentSpanId", span.getParentSpanId());
        node.put("name", span.getName());
        node.put("kind", span.getKind().name());
        node.put("startEpochNanos", span.getStartEpochNanos());
        node.put("endEpochNanos", span.getEndEpochNanos());
        node.put("status", span.getStatus().getStatusCode().name());
        ObjectNode attributes = node.putObject("attributes");
        span.getAttributes()
                .forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
        return node.toString();
    }

    @Override
    public synchronized CompletableResultCode flush() {
        try {
            writer.flush();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofFailure();
        }
    }

    @Override
    public synchronized CompletableResultCode shutdown() {
        try {
            writer.close();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofFailure();
        }
    }
}
