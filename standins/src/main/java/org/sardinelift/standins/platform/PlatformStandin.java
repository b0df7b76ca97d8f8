package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.Json;

/**
 * In-memory stand-in for the platform: serves its object API over HTTP, with faults that {@code
 * POST /admin/faults} sets.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final String ADMIN_PREFIX = "/admin/";
    private static final Set<String> INSTANCE_FIELDS =
            Set.of("register", "leaving", "deregister", "lagMs");

    private final PlatformOptions options;
    private final EventLoopGroup group;
    private final ObjectApi api;
    private final InstanceTable instances = new InstanceTable();
    private final CallCounts counts = new CallCounts();
    private final RateLimit writes;
    private final RateLimit reads;
    private final HttpServer server;
    private volatile Faults faults = Faults.none();

    private PlatformStandin(PlatformOptions options) throws BindException {
        this.options = options;
        this.group = EventLoops.start("platform-standin", EVENT_LOOP_THREADS);
        this.api = new ObjectApi(group, options.historyLength());
        this.writes = new RateLimit(options.writesPerSecond());
        this.reads = new RateLimit(options.readsPerSecond());
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
    public static PlatformStandin start(PlatformOptions options) throws BindException {
        return new PlatformStandin(options);
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
     * Sets the injected faults.
     *
     * @param next the faults from now on
     */
    public void setFaults(Faults next) {
        faults = next;
    }

    /** Discards the history of changes, so that a watch from an older revision reports a gap. */
    public void compact() {
        api.compact();
    }

    /** Stops the stand-in and discards its objects. */
    @Override
    public void close() {
        server.close();
        EventLoops.stop(group);
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().startsWith(ADMIN_PREFIX)) {
            handleAdmin(exchange);
            return;
        }
        Operation operation = Operation.of(exchange);
        counts.count(operation.countedKind(), operation.type().label());
        if (respondAsOutage(exchange)) {
            return;
        }
        if (!(operation.type().isChange() ? writes : reads).tryAcquire()) {
            counts.countRefused();
            ApiResponse.refused(429).sendTo(exchange);
            return;
        }
        if (operation.type().isChange() && consumeLostRequest()) {
            exchange.abort();
            return;
        }
        serve(exchange, operation);
    }

    /** Handles a call as the outage in force demands; returns false if there is none. */
    private boolean respondAsOutage(HttpExchange exchange) {
        Faults now = faults;
        if (now.down()) {
            exchange.abort();
        } else if (now.refuse()) {
            counts.countRefused();
            ApiResponse.refused(503).sendTo(exchange);
        }
        return now.down() || now.refuse() || now.silent();
    }

    private void serve(HttpExchange exchange, Operation operation) {
        if (operation.type() == OperationType.INSTANCES) {
            answer(exchange, ApiResponse.ok(instances.toJson()));
            return;
        }
        api.apply(
                operation,
                faults.staleReads(),
                result -> {
                    if (operation.type().isChange() && consumeLostAnswer()) {
                        exchange.abort();
                    } else if (operation.type() != OperationType.WATCH
                            || !respondAsOutage(exchange)) {
                        answer(exchange, result);
                    }
                });
    }

    private void answer(HttpExchange exchange, ApiResponse result) {
        int slowMs = faults.slowMs();
        if (slowMs == 0) {
            result.sendTo(exchange);
            return;
        }
        group.schedule(() -> result.sendTo(exchange), slowMs, TimeUnit.MILLISECONDS);
    }

    private synchronized boolean consumeLostRequest() {
        if (faults.loseRequests() <= 0) {
            return false;
        }
        faults = faults.afterLosingRequest();
        return true;
    }

    private synchronized boolean consumeLostAnswer() {
        if (faults.loseAnswers() <= 0) {
            return false;
        }
        faults = faults.afterLosingAnswer();
        return true;
    }

    private void handleAdmin(HttpExchange exchange) {
        JsonNode body = Json.parse(exchange.bodyText());
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /admin/calls" -> exchange.respondJson(200, counts.toJson().toString());
            case "POST /admin/faults" -> handleFaults(exchange, body);
            case "POST /admin/instances" -> handleInstances(exchange, body);
            default -> exchange.respondJson(404, "{\"error\":\"no such admin call\"}");
        }
    }

    private void handleFaults(HttpExchange exchange, JsonNode change) {
        if (refuseUnknownFields(exchange, change, Faults.FIELDS)) {
            return;
        }
        synchronized (this) {
            faults = faults.with(change);
        }
        if (change.path("gap").asBoolean()) {
            api.compact();
        }
        exchange.respondJson(200, "{\"ok\":true}");
    }

    private void handleInstances(HttpExchange exchange, JsonNode change) {
        if (refuseUnknownFields(exchange, change, INSTANCE_FIELDS)) {
            return;
        }
        long lagMs = change.path("lagMs").asLong(options.listLag().toMillis());
        if (lagMs == 0) {
            instances.apply(change);
        } else {
            group.schedule(() -> instances.apply(change), lagMs, TimeUnit.MILLISECONDS);
        }
        exchange.respondJson(200, "{\"ok\":true}");
    }

    /** Refuses a body that is not a JSON object or has an unknown field; returns false if valid. */
    private static boolean refuseUnknownFields(
            HttpExchange exchange, JsonNode body, Set<String> known) {
        List<String> unknown = new ArrayList<>();
        body.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(known);
        if (body.isObject() && unknown.isEmpty()) {
            return false;
        }
        String expected = "a JSON object with fields of " + new TreeSet<>(known);
        exchange.respondJson(
                400,
                Json.object()
                        .put("error", "the body is not understood; nothing was changed")
                        .put("expected", expected)
                        .put("found", exchange.bodyText())
                        .toString());
        return true;
    }
}
