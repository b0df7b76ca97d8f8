package org.sardinelift.companion;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.runtime.Metrics;

/** HTTP routes for operators, under the same paths as at an entry. */
final class OperatorRoutes implements HttpHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final Supplier<Optional<String>> notReadyReason;
    private final Map<String, Consumer<HttpExchange>> routes;

    private OperatorRoutes(Supplier<Optional<String>> notReadyReason, Runnable drain) {
        this.notReadyReason = notReadyReason;
        this.routes =
                Map.of(
                        "GET /healthz",
                        exchange -> exchange.respondJson(OK, "{\"ok\":true}"),
                        "GET /readyz",
                        this::ready,
                        "GET /metrics",
                        OperatorRoutes::metrics,
                        "POST /drain",
                        exchange -> drain(exchange, drain));
    }

    /**
     * Creates the routes.
     *
     * @param notReadyReason reason why this companion accepts no new calls, or empty if it does
     * @param drain starts the drain; must not block
     * @return the routes
     */
    static OperatorRoutes of(Supplier<Optional<String>> notReadyReason, Runnable drain) {
        return new OperatorRoutes(notReadyReason, drain);
    }

    @Override
    public void handle(HttpExchange exchange) {
        Consumer<HttpExchange> route = routes.get(exchange.method() + " " + exchange.path());
        if (route == null) {
            ObjectNode response = MAPPER.createObjectNode().put("error", "there is no such route");
            routes.keySet().stream().sorted().forEach(response.putArray("routes")::add);
            exchange.respondJson(NOT_FOUND, response.toString());
            return;
        }
        route.accept(exchange);
    }

    private void ready(HttpExchange exchange) {
        Optional<String> reason = notReadyReason.get();
        ObjectNode response = MAPPER.createObjectNode().put("ready", reason.isEmpty());
        reason.ifPresent(text -> response.put("reason", text));
        exchange.respondJson(reason.isEmpty() ? OK : UNAVAILABLE, response.toString());
    }

    private static void metrics(HttpExchange exchange) {
        exchange.respond(OK, Map.of("content-type", Metrics.CONTENT_TYPE), Metrics.text());
    }

    private static void drain(HttpExchange exchange, Runnable drain) {
        exchange.respondJson(ACCEPTED, "{\"draining\":true}");
        drain.run();
    }
}
