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
 * Opens the span of a call at this entry, below the caller's own where it sent one, and below that
 * the span of its time in the filters, waiting for the limit included.
 */
public final class TraceFilter implements CallFilter {
    private static final String HEADER = "traceparent";
    private static final Pattern TRACEPARENT =
            Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

    private final Telemetry telemetry;

    private TraceFilter(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    /**
     * Makes the filter.
     *
     * @param telemetry records the spans
     * @return the filter
     */
    public static TraceFilter of(Telemetry telemetry) {
        return new TraceFilter(telemetry);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        String parent = call.exchange().header(HEADER);
        boolean sound = parent != null && TRACEPARENT.matcher(parent).matches();
        Span span = telemetry.hop("entry.call", SpanKind.SERVER, sound ? parent : "");
        span.setAttribute("request.id", call.requestId());
        String own = Telemetry.traceparent(span);
        Span queue = telemetry.hop("entry.queue", SpanKind.INTERNAL, own);
        call.traceparent(own);
        call.setDispatchListener(queue::end);
        call.setLocalAnswerListener(
                status -> {
                    span.setAttribute("http.status", status);
                    queue.end();
                    span.end();
                });
        call.wrapListener(listener -> new SpanEnder(span, queue, listener));
        next.run();
    }

    /** Ends the spans with the call; the queue's has ended before where it was dispatched. */
    private record SpanEnder(Span span, Span queue, CallListener next) implements CallListener {
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
