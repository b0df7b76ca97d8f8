package org.sardinelift.entry.call;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.runtime.Telemetry;

/** Trace span of one attempt of a call, from its Start frame to its end. */
final class AttemptSpan {
    private final Span span;

    private AttemptSpan(Span span) {
        this.span = span;
    }

    static AttemptSpan start(Telemetry telemetry, CallSpec spec, int attempt, String companion) {
        Span span = telemetry.startSpan("entry.attempt", SpanKind.CLIENT, spec.traceparent());
        span.setAttribute("request.id", spec.requestId());
        span.setAttribute("attempt", attempt);
        span.setAttribute("companion", companion);
        return new AttemptSpan(span);
    }

    String traceparent() {
        return Telemetry.traceparent(span);
    }

    void succeed() {
        span.end();
    }

    void fail(String reason, RunOutcome outcome) {
        span.setStatus(StatusCode.ERROR, reason);
        span.setAttribute("outcome", outcome.label());
        span.end();
    }
}
