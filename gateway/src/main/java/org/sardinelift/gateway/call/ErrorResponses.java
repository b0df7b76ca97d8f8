package org.sardinelift.gateway.call;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/** Error responses that the gateway itself sends, with the reason as JSON. */
final class ErrorResponses {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Callers honour a retry delay of at most their remaining time divided by this. */
    private static final int MAX_RETRY_DELAY_DIVISOR = 3;

    private ErrorResponses() {}

    /** Kind of an error, with its status and whether the call was run. */
    enum Kind {
        /** No route matches the call. */
        NO_ROUTE(404, "no_route", "not_run"),
        /** The key is missing or unknown. */
        BAD_KEY(401, "bad_key", "not_run"),
        /** The team has exhausted its rate and burst. */
        OVER_RATE(429, "over_rate", "not_run"),
        /** No target can serve the call in time. */
        NO_ROOM(503, "no_room", "not_run"),
        /** The targets are short, and the team has used its share of them. */
        OVER_SHARE(503, "over_share", "not_run"),
        /** No target is available at all. */
        NO_TARGET(503, "no_target", "not_run"),
        /** This gateway is too far behind its own work. */
        BEHIND(503, "behind", "not_run"),
        /** All targets that may run the call are in zones that are evacuated. */
        ZONES_EVACUATED(503, "zones_evacuated", "not_run"),
        /** The call needs more memory than any target of its service has. */
        EXCEEDS_MEMORY(413, "exceeds_memory", "not_run"),
        /** The call fits into the memory of no target at present. */
        NO_MEMORY(503, "no_memory", "not_run"),
        /** No target has the version of the weights that the call expects. */
        NO_WEIGHTS(503, "no_weights", "not_run"),
        /** This gateway stops, and may exit before the call ends. */
        STOPPING(503, "stopping", "not_run"),
        /** This gateway has no configuration yet. */
        NOT_READY(503, "not_ready", "not_run"),
        /** Every target that received the call failed, or may have run it. */
        TARGET_FAILED(502, "target_failed", "unknown"),
        /** The call timed out. */
        TIMED_OUT(504, "timed_out", "unknown"),
        /** The request crashes the targets that run it. */
        CRASHES_TARGETS(500, "crashes_targets", "not_run"),
        /** Requests with a part of this one's prompt crash the targets that run them. */
        PART_CRASHES_TARGETS(503, "crashes_targets", "not_run"),
        /** No worker can handle a batch job call now. */
        NO_WORKER(503, "no_worker", "not_run"),
        /** It is not known which software version began the stream that the caller resumes. */
        UNKNOWN_ORIGIN(503, "unknown_origin", "not_run"),
        /** No target has the software version that began the stream any more. */
        VERSION_GONE(503, "version_gone", "not_run"),
        /** A worker received a batch job call and did not answer. */
        WORKER_FAILED(504, "worker_failed", "unknown");

        private final int status;
        private final String label;
        private final String outcome;

        Kind(int status, String label, String outcome) {
            this.status = status;
            this.label = label;
            this.outcome = outcome;
        }

        String label() {
            return label;
        }

        int status() {
            return status;
        }
    }

    /** Longest retry delay that a caller honours with some time left. */
    static Duration maxRetryDelay(Duration left) {
        return left.dividedBy(MAX_RETRY_DELAY_DIVISOR);
    }

    static void send(HttpExchange exchange, Kind kind, String callId, String detail) {
        send(exchange, kind, callId, detail, null);
    }

    static void send(
            HttpExchange exchange,
            Kind kind,
            String callId,
            String detail,
            @Nullable Duration retryAfter) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(Map.entry("Content-Type", "application/problem+json"));
        if (retryAfter != null) {
            double seconds = retryAfter.toNanos() / NANOS_PER_SECOND;
            headers.add(Map.entry("Retry-After", String.format(Locale.ROOT, "%.3f", seconds)));
        }
        String body =
                "{\"kind\":\""
                        + kind.label
                        + "\",\"outcome\":\""
                        + kind.outcome
                        + "\",\"detail\":\""
                        + detail.replace('"', '\'').replace('\\', '/')
                        + "\"}";
        exchange.respond(kind.status, headers, body.getBytes(StandardCharsets.UTF_8));
        LogEvent.of("call.refused")
                .with("call", callId)
                .with("status", kind.status)
                .with("kind", kind.label)
                .with("detail", detail)
                .with("retry_after_ms", retryAfter == null ? -1 : retryAfter.toMillis())
                .info();
    }
}
