package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.BindException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.Json;

/** Stand-in for a model engine: serves completions, orders and admin calls over HTTP. */
public final class EngineStandin implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int CRASH_EXIT_STATUS = 1;
    private static final String CANCEL_PREFIX = "/cancel/";
    private static final String RESUME_PREFIX = "/resume/";

    private final EngineOptions options;
    private final EventLoopGroup group;
    private final DecodeLoop loop;
    private final OrderProcessor orders;
    private final AtomicLong localIds = new AtomicLong();
    private final AtomicBoolean isDown = new AtomicBoolean();
    private final int port;
    private volatile HttpServer server;

    private EngineStandin(EngineOptions options) throws BindException {
        this.options = options;
        this.group = EventLoops.start("engine-standin", EVENT_LOOP_THREADS);
        this.orders = new OrderProcessor(options);
        this.loop = new DecodeLoop(options, this::crash);
        this.server = bind(options.port());
        this.port = server.port();
    }

    /**
     * Starts the stand-in.
     *
     * @param options its settings
     * @return the running stand-in
     * @throws BindException if the address is in use; choose another port
     */
    public static EngineStandin start(EngineOptions options) throws BindException {
        return new EngineStandin(options);
    }

    /**
     * Returns the port that was bound.
     *
     * @return port number
     */
    public int port() {
        return port;
    }

    /**
     * Returns the counters since the start.
     *
     * @return counters started, completed, cancelled, resumed, tokens, cachedTokens, crashes and
     *     mostRunning
     */
    public JsonNode counters() {
        return loop.counters();
    }

    /** Stops the stand-in. */
    @Override
    public void close() {
        loop.close();
        server.close();
        EventLoops.stop(group);
    }

    private HttpServer bind(int bindPort) throws BindException {
        return HttpServer.start(
                group, options.host(), bindPort, HttpLimits.defaults(), null, this::handle);
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith(CANCEL_PREFIX)) {
            boolean cancelled = loop.cancel(path.substring(CANCEL_PREFIX.length()));
            exchange.respondJson(cancelled ? 200 : 404, "{\"cancelled\":" + cancelled + "}");
            return;
        }
        if (path.startsWith(RESUME_PREFIX)) {
            handleResume(exchange, path.substring(RESUME_PREFIX.length()));
            return;
        }
        switch (exchange.method() + " " + path) {
            case "POST /v1/chat/completions" -> handleCompletion(exchange, true);
            case "POST /v1/completions" -> handleCompletion(exchange, false);
            case "GET /v1/models" -> respond(exchange, 200, orders.modelsJson());
            case "GET /load" -> respond(exchange, 200, loop.load());
            case "POST /orders" -> handleOrder(exchange);
            case "GET /admin/counters" -> respond(exchange, 200, loop.counters());
            case "POST /admin/orders" -> handleOrderFaults(exchange);
            case "GET /admin/orders" -> respond(exchange, 200, orders.toJson());
            default -> refuse(exchange, 404, "no such path");
        }
    }

    private void handleCompletion(HttpExchange exchange, boolean chat) {
        JsonNode body = Json.parse(exchange.bodyText());
        if (!body.isObject()) {
            refuse(exchange, 400, "the body is not a JSON object");
            return;
        }
        Prompt prompt = Prompt.of(chat, body, options.defaultTokens());
        if (!orders.isLoaded(prompt.model())) {
            refuse(exchange, 404, "the model " + prompt.model() + " is not loaded");
            return;
        }
        String given = exchange.header("X-Request-Id");
        String id = given == null ? "local-" + localIds.incrementAndGet() : given;
        loop.start(id, prompt, exchange);
    }

    private void handleResume(HttpExchange exchange, String id) {
        int offset = (int) parseNumber(exchange.query("offset"));
        Optional<Integer> from = loop.resume(id, offset, exchange);
        if (from.isEmpty()) {
            refuse(exchange, 404, "no request with this id is retained");
        } else if (from.get() != offset) {
            refuse(exchange, 416, "only " + from.get() + " bytes were written");
        }
    }

    private void handleOrder(HttpExchange exchange) {
        JsonNode body = Json.parse(exchange.bodyText());
        long fence = parseNumber(exchange.header("Fence"));
        if (!orders.accept(fence, body)) {
            respond(
                    exchange,
                    409,
                    Json.object()
                            .put("error", "old fencing number")
                            .put("highest", orders.highestFence()));
            return;
        }
        long delayNanos = orders.scheduleCompletion(body, System.nanoTime()).toNanos();
        group.schedule(() -> completeOrder(exchange, body), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void completeOrder(HttpExchange exchange, JsonNode order) {
        if (!orders.apply(order)) {
            refuse(exchange, 500, "the version can't be loaded");
            return;
        }
        ObjectNode answer =
                Json.object().put("accepted", true).put("highest", orders.highestFence());
        respond(exchange, 200, answer);
    }

    private void handleOrderFaults(HttpExchange exchange) {
        orders.setFaults(Json.parse(exchange.bodyText()));
        respond(exchange, 200, orders.toJson());
    }

    /** Runs on the decode thread: on an event loop, closing the port would wait for itself. */
    private void crash() {
        if (options.crashMode() == CrashMode.EXIT) {
            Runtime.getRuntime().halt(CRASH_EXIT_STATUS);
        }
        if (!isDown.compareAndSet(false, true)) {
            return;
        }
        server.close();
        loop.clearState();
        Thread restart = new Thread(this::restart, "engine-standin-restart");
        restart.setDaemon(true);
        group.schedule(restart::start, options.dropTime().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void restart() {
        try {
            server = bind(port);
            isDown.set(false);
        } catch (BindException e) {
            group.schedule(
                    () -> new Thread(this::restart).start(),
                    options.dropTime().toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private static long parseNumber(@Nullable String text) {
        try {
            return text == null ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static void refuse(HttpExchange exchange, int status, String reason) {
        ObjectNode body = Json.object();
        body.putObject("error").put("message", reason).put("code", status);
        respond(exchange, status, body);
    }

    private static void respond(HttpExchange exchange, int status, ObjectNode body) {
        exchange.respondJson(status, body.toString());
    }
}
