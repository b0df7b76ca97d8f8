package org.sardinelift.entry.filter;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import java.util.Map;
import java.util.regex.Pattern;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.entry.call.CallListener;
import org.sardinelift.runtime.Telemetry;

/**
 * Starts the trace span of a call at this entry, as a child of the caller's span if it sent one,
 * and a child span for the time in the filters, including the wait for the limit.
 */
public final class TraceFilter implements CallFilter {
    private static final String TRACEPARENT_HEADER = "traceparent";
    private static final Pattern TRACEPARENT_PATTERN =
            Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

    private final Telemetry telemetry;

    private TraceFilter(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    /**
     * Creates the filter.
     *
     * @param telemetry records the spans
     * @return the filter
     */
    public static TraceFilter of(Telemetry telemetry) {
        return new TraceFilter(telemetry);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        String parent = call.exchange().header(TRACEPARENT_HEADER);
        boolean isValid = parent != null && TRACEPARENT_PATTERN.matcher(parent).matches();
        Span span = telemetry.startSpan("entry.call", SpanKind.SERVER, isValid ? parent : "");
        span.setAttribute("request.id", call.requestId());
        String callTraceparent = Telemetry.traceparent(span);
        Span queue = telemetry.startSpan("entry.queue", SpanKind.INTERNAL, callTraceparent);
        call.traceparent(callTraceparent);
        call.setDispatchListener(queue::end);
        call.setLocalAnswerListener(
                status -> {
                    span.setAttribute("http.status", status);
                    queue.end();
                    span.end();
                });
        call.wrapListener(listener -> new SpanEndingListener(span, queue, listener));
        next.run();
    }

    /**
     * Ends the spans with the call; the queue span has ended earlier if the call was dispatched.
     */
    private record SpanEndingListener(Span span, Span queue, CallListener next)
            implements CallListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {
            span.setAttribute("http.status", status);
            span.addEvent("first part");
            next.onHead(status, headers);
        }

        @Override
        public void onData(byte[] part) {
            next.onData(part);
        }

        @Override
        public void onEnd() {
            queue.end();
            span.end();
            next.onEnd();
        }

        @Override
        public void onProblem(Problem problem) {
            span.setStatus(StatusCode.ERROR, problem.kind().label());
            span.setAttribute("outcome", problem.outcome().label());
            queue.end();
            span.end();
            next.onProblem(problem);
        }
    }
}
