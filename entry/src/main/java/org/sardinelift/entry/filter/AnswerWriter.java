package org.sardinelift.entry.filter;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.entry.call.CallListener;
import org.sardinelift.http.HttpExchange;

/** Writes a call's answer to the caller as it arrives; aborts it if the caller reads too slowly. */
final class AnswerWriter implements CallListener {
    private static final Set<String> ALLOWED_HEADERS =
            Set.of(
                    "content-type",
                    "cache-control",
                    "content-language",
                    "location",
                    "etag",
                    "idempotency-replayed");
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpExchange exchange;
    private final String requestId;
    private final int maxUnsentBytes;
    private boolean isEventStream;
    private boolean isHeadWritten;
    private volatile boolean isEnded;
    private int unsentBytes;

    AnswerWriter(HttpExchange exchange, String requestId, int maxUnsentBytes) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.maxUnsentBytes = maxUnsentBytes;
    }

    boolean isEnded() {
        return isEnded;
    }

    @Override
    public synchronized void onHead(int status, Map<String, String> headers) {
        if (isEnded) {
            return;
        }
        Map<String, String> allowed = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(Locale.ROOT);
                    if (ALLOWED_HEADERS.contains(lower)) {
                        allowed.put(lower, value);
                    }
                });
        allowed.put("x-request-id", requestId);
        isEventStream = allowed.getOrDefault("content-type", "").startsWith(EVENT_STREAM);
        isHeadWritten = true;
        exchange.start(status, allowed);
    }

    @Override
    public synchronized void onData(byte[] part) {
        if (isEnded) {
            return;
        }
        unsentBytes = exchange.isWritable() ? 0 : unsentBytes + part.length;
        if (unsentBytes > maxUnsentBytes) {
            isEnded = true;
            exchange.abort();
            return;
        }
        exchange.write(part);
    }

    @Override
    public synchronized void onEnd() {
        if (!isEnded) {
            isEnded = true;
            exchange.end();
        }
    }

    @Override
    public synchronized void onProblem(Problem problem) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        if (!isHeadWritten) {
            ProblemWriter.write(exchange, requestId, problem);
        } else if (isEventStream) {
            String event =
                    "event: error\ndata: " + ProblemWriter.toJson(requestId, problem) + "\n\n";
            exchange.write(event.getBytes(StandardCharsets.UTF_8));
            exchange.end();
        } else {
            exchange.abort();
        }
    }
}
