package org.sardinelift.entry.filter;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.http.HttpExchange;

/** Writes problems as RFC 9457 problem details. */
public final class ProblemWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:sardinelift:problem:";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private ProblemWriter() {}

    /**
     * Answers a request with a problem.
     *
     * @param exchange the request
     * @param requestId identifier of the request
     * @param problem what was wrong
     */
    public static void write(HttpExchange exchange, String requestId, Problem problem) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/problem+json");
        headers.put("x-request-id", requestId);
        problem.retryAfter()
                .ifPresent(
                        retryAfter ->
                                headers.put(
                                        "retry-after",
                                        Long.toString(retryAfterSeconds(retryAfter))));
        if (problem.kind().status() == 401) {
            headers.put("www-authenticate", "Bearer");
        }
        exchange.respond(
                problem.kind().status(),
                headers,
                toJson(requestId, problem).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes a problem as JSON.
     *
     * @param requestId identifier of the request
     * @param problem what was wrong
     * @return problem details on one line
     */
    public static String toJson(String requestId, Problem problem) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", TYPE_PREFIX + problem.kind().label());
        node.put("title", problem.kind().label().replace('_', ' '));
        node.put("status", problem.kind().status());
        node.put("kind", problem.kind().label());
        node.put("outcome", problem.outcome().label());
        node.put("detail", problem.detail());
        node.put("remedy", problem.kind().remedy());
        node.put("requestId", requestId);
        problem.retryAfter()
                .ifPresent(retryAfter -> node.put("retryAfterMs", retryAfter.toMillis()));
        return node.toString();
    }

    /**
     * Returns the value of the header Retry-After, rounded up so that callers never retry too
     * early.
     *
     * @param time the exact time until a retry
     * @return whole seconds, at least 1
     */
    public static long retryAfterSeconds(Duration time) {
        return Math.max(1, (time.toNanos() + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
    }
}
