package org.sardinelift.standins.plain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.BindException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.Json;

/** Stand-in for a plain service. Each call has an effect, which is counted by its id. */
public final class PlainStandin implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;

    private final PlainOptions options;
    private final EventLoopGroup group;
    private final HttpServer server;
    private final Map<String, Long> effects = new TreeMap<>();
    private long calls;

    private PlainStandin(PlainOptions options) throws BindException {
        this.options = options;
        this.group = EventLoops.start("plain-standin", EVENT_LOOP_THREADS);
        this.server =
                HttpServer.start(
                        group,
                        options.host(),
                        options.port(),
                        HttpLimits.defaults(),
                        null,
                        this::handle);
    }

    /**
     * Starts the stand-in.
     *
     * @param options its settings
     * @return the running stand-in
     * @throws BindException if the address is in use; choose another port
     */
    public static PlainStandin start(PlainOptions options) throws BindException {
        return new PlainStandin(options);
    }

    /**
     * Returns the port that was bound.
     *
     * @return port number
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns how often an effect took place.
     *
     * @param id value of the header {@code X-Effect-Id}, or the request body if there was none
     * @return number of calls with this effect
     */
    public synchronized long effectCount(String id) {
        return effects.getOrDefault(id, 0L);
    }

    /** Stops the stand-in. */
    @Override
    public void close() {
        server.close();
        EventLoops.stop(group);
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/admin/effects")) {
            exchange.respondJson(200, effectsJson().toString());
            return;
        }
        if (exchange.path().equals("/load")) {
            exchange.respondJson(200, "{\"running\":0,\"waiting\":0,\"slots\":0,\"lagMs\":0}");
            return;
        }
        if (options.delay().isZero()) {
            serve(exchange);
        } else {
            group.schedule(
                    () -> serve(exchange), options.delay().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void serve(HttpExchange exchange) {
        long number = countEffect(exchange);
        if (isNth(number, options.cutEvery())) {
            exchange.abort();
        } else if (isNth(number, options.failEvery())) {
            exchange.respondJson(500, "{\"error\":\"failed after the effect\"}");
        } else {
            exchange.respondJson(200, echo(exchange).toString());
        }
    }

    private synchronized long countEffect(HttpExchange exchange) {
        String given = exchange.header("X-Effect-Id");
        effects.merge(given == null ? exchange.bodyText() : given, 1L, Long::sum);
        calls++;
        return calls;
    }

    private synchronized JsonNode effectsJson() {
        ObjectNode body = Json.object().put("calls", calls);
        ObjectNode counted = body.putObject("effects");
        effects.forEach(counted::put);
        return body;
    }

    private static ObjectNode echo(HttpExchange exchange) {
        ObjectNode body =
                Json.object()
                        .put("method", exchange.method())
                        .put("uri", exchange.uri())
                        .put("body", exchange.bodyText());
        ObjectNode headers = body.putObject("headers");
        exchange.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
        return body;
    }

    private static boolean isNth(long number, int n) {
        return n > 0 && number % n == 0;
    }
}
