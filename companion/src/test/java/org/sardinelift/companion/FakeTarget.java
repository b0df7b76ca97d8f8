package org.sardinelift.companion;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;

/** A target whose responses the test controls; records the calls that it received. */
final class FakeTarget implements AutoCloseable {
    final List<HttpExchange> calls = new CopyOnWriteArrayList<>();
    final List<HttpExchange> orders = new CopyOnWriteArrayList<>();
    private final EventLoopGroup group;
    private HttpServer server;
    private int port;

    private FakeTarget(EventLoopGroup group) {
        this.group = group;
    }

    static FakeTarget start(EventLoopGroup group) throws Exception {
        FakeTarget target = new FakeTarget(group);
        target.listen();
        target.port = target.server.port();
        return target;
    }

    int port() {
        return port;
    }

    /** Binds the port, again after {@link #stop}. */
    void listen() throws Exception {
        server =
                HttpServer.start(
                        group, "127.0.0.1", port, HttpLimits.defaults(), null, this::handle);
    }

    /** Resets every connection and refuses new ones. */
    void stop() {
        server.close();
    }

    /** The received call with a request id, open or ended, or null. */
    HttpExchange call(String requestId) {
        return calls.stream()
                .filter(call -> requestId.equals(call.header("x-request-id")))
                .findFirst()
                .orElse(null);
    }

    /** The received request to resume a call, or null. */
    HttpExchange resumeRequest(String requestId) {
        return calls.stream()
                .filter(call -> call.path().equals("/resume/" + requestId))
                .findFirst()
                .orElse(null);
    }

    boolean hasReceived(String requestId) {
        return call(requestId) != null;
    }

    void startResponse(String requestId) {
        call(requestId).start(200, Map.of("content-type", "text/event-stream"));
    }

    void writeData(String requestId, String text) {
        call(requestId).write(text.getBytes(StandardCharsets.UTF_8));
    }

    void endResponse(String requestId) {
        call(requestId).end();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/load" ->
                    exchange.respondJson(
                            200, "{\"running\":0,\"waiting\":0,\"slots\":2,\"lagMs\":0}");
            case "/v1/models" -> exchange.respondJson(200, "{\"data\":[{\"id\":\"tags\"}]}");
            case "/orders" -> {
                orders.add(exchange);
                exchange.respondJson(200, "{}");
            }
            default -> calls.add(exchange);
        }
    }
}
