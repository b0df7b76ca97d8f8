package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.standins.Json;

/** HTTP response of the platform: status, headers and JSON body. */
record ApiResponse(int status, Map<String, String> headers, ObjectNode body) {
    private static final String JSON = "application/json";

    static ApiResponse ok(ObjectNode body) {
        return of(200, body);
    }

    static ApiResponse of(int status, ObjectNode body) {
        return new ApiResponse(status, Map.of("content-type", JSON), body);
    }

    static ApiResponse notFound(long revision) {
        return new ApiResponse(
                404,
                Map.of("content-type", JSON, "revision", Long.toString(revision)),
                Json.object().put("error", "no such object"));
    }

    /** Response to a call that was refused and had no effect. */
    static ApiResponse refused(int status) {
        return new ApiResponse(
                status,
                Map.of("content-type", JSON, "applied", "no", "retry-after", "1"),
                Json.object().put("error", "refused; try again later"));
    }

    void sendTo(HttpExchange exchange) {
        exchange.respond(status, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
