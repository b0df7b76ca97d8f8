package org.sardinelift.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;

/** Runs the commands on evacuations against a stand-in of the store. */
final class EvacuationsCommandsTest {
    private Store store;

    @BeforeEach
    void start() throws BindException {
        store = new Store();
    }

    @AfterEach
    void stop() {
        store.close();
    }

    @Test
    void anEvacuationIsStartedListedAndEnded() {
        assertEquals(List.of(), zones());

        Result started = run("evacuations", "start", "z1");
        assertEquals(ExitCode.OK, started.code(), started.out());
        assertEquals("{}", store.specs.get("z1"));
        assertEquals(List.of("z1"), zones());
        assertEquals(ExitCode.OK, run("evacuations", "start", "moreton bay/2").code());
        assertEquals(List.of("moreton bay/2", "z1"), zones());

        assertEquals(ExitCode.OK, run("evacuations", "end", "z1").code());
        assertEquals(List.of("moreton bay/2"), zones());
    }

    @Test
    void bothCommandsMayBeRepeated() {
        assertTrue(run("evacuations", "start", "z1").json().path("changed").asBoolean());
        Result again = run("evacuations", "start", "z1");
        assertEquals(ExitCode.OK, again.code());
        assertTrue(again.json().path("evacuated").asBoolean());
        assertTrue(!again.json().path("changed").asBoolean(true));

        assertTrue(run("evacuations", "end", "z1").json().path("changed").asBoolean());
        Result ended = run("evacuations", "end", "z1");
        assertEquals(ExitCode.OK, ended.code());
        assertTrue(!ended.json().path("changed").asBoolean(true));
    }

    /** Guards against a report of failure, or a second object, where only the answer was lost. */
    @Test
    void aChangeWhoseAnswerIsLostSucceeds() {
        store.answersToDrop = 1;
        assertEquals(ExitCode.OK, run("evacuations", "start", "z1").code());
        store.answersToDrop = 1;
        assertEquals(ExitCode.OK, run("evacuations", "end", "z1").code());
        assertEquals(List.of(), zones());
    }

    @Test
    void anOutageIsReported() {
        store.isDown = true;
        assertEquals(ExitCode.UNREACHABLE, run("evacuations", "start", "z1").code());
        assertEquals(ExitCode.UNREACHABLE, run("evacuations", "end", "z1").code());
        assertEquals(ExitCode.UNREACHABLE, run("evacuations", "list").code());
    }

    @Test
    void aCommandWithoutZoneIsRefused() {
        assertEquals(ExitCode.USAGE, run("evacuations", "start").code());
        assertEquals(ExitCode.USAGE, run("evacuations", "end").code());
    }

    private List<String> zones() {
        Result result = run("evacuations", "list");
        assertEquals(ExitCode.OK, result.code(), result.out());
        List<String> zones = new ArrayList<>();
        result.json().path("zones").forEach(zone -> zones.add(zone.asText()));
        return zones;
    }

    private Result run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        ExitCode code =
                Sardinectl.run(
                        Stream.concat(Stream.of(args), Stream.of("--output", "json"))
                                .toArray(String[]::new),
                        Map.of("SARDINELIFT_STORE", "127.0.0.1:" + store.port()),
                        new ByteArrayInputStream(new byte[0]),
                        stream,
                        stream);
        return new Result(code, out.toString(StandardCharsets.UTF_8));
    }

    private record Result(ExitCode code, String out) {
        JsonNode json() {
            return Json.parseOrMissing(out);
        }
    }

    /** Stand-in for the store of gateways and workers that holds evacuations only. */
    private static final class Store {
        private static final String PREFIX = "/objects/evacuations";
        private final MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final HttpServer server;
        private final Map<String, String> specs = new TreeMap<>();
        private final Map<String, Long> revisions = new TreeMap<>();
        private long revision = 100;
        private volatile int answersToDrop;
        private volatile boolean isDown;

        Store() throws BindException {
            server =
                    HttpServer.start(
                            group, "127.0.0.1", 0, HttpLimits.defaults(), null, this::handle);
        }

        int port() {
            return server.port();
        }

        private void handle(HttpExchange exchange) {
            String path = exchange.path();
            String encoded = exchange.uri().split("\\?")[0];
            if (isDown || !path.startsWith(PREFIX)) {
                respond(exchange, 503, Json.newObject());
                return;
            }
            String name =
                    encoded.length() <= PREFIX.length()
                            ? ""
                            : URLDecoder.decode(
                                    encoded.substring(PREFIX.length() + 1), StandardCharsets.UTF_8);
            switch (exchange.method()) {
                case "GET" -> read(exchange, name);
                case "POST" -> create(exchange);
                default -> delete(exchange, name);
            }
        }

        private void read(HttpExchange exchange, String name) {
            if (!name.isEmpty()) {
                respond(
                        exchange,
                        specs.containsKey(name) ? 200 : 404,
                        specs.containsKey(name) ? object(name) : Json.newObject());
                return;
            }
            ObjectNode list = Json.newObject().put("hasMore", false).put("asOf", revision);
            var items = list.putArray("items");
            specs.keySet().forEach(each -> items.add(object(each)));
            respond(exchange, 200, list);
        }

        private void create(HttpExchange exchange) {
            JsonNode sent = Json.parseOrMissing(exchange.bodyText());
            String name = sent.path("metadata").path("name").asText();
            if (specs.containsKey(name)) {
                respond(exchange, 409, object(name));
                return;
            }
            specs.put(name, sent.path("spec").asText());
            revisions.put(name, ++revision);
            respondToChange(exchange, object(name));
        }

        private void delete(HttpExchange exchange, String name) {
            if (!specs.containsKey(name)) {
                respond(exchange, 404, Json.newObject());
            } else if (!exchange.uri().endsWith("?revision=" + revisions.get(name))) {
                respond(exchange, 409, object(name));
            } else {
                ObjectNode deleted = object(name);
                specs.remove(name);
                revision++;
                respondToChange(exchange, deleted);
            }
        }

        private ObjectNode object(String name) {
            ObjectNode object = Json.newObject();
            object.putObject("metadata").put("name", name).put("revision", revisions.get(name));
            return object.put("spec", specs.get(name));
        }

        private void respondToChange(HttpExchange exchange, ObjectNode object) {
            if (answersToDrop > 0) {
                answersToDrop--;
                exchange.abort();
                return;
            }
            respond(exchange, 200, object);
        }

        private static void respond(HttpExchange exchange, int status, ObjectNode body) {
            exchange.respond(
                    status,
                    Map.of("content-type", "application/json"),
                    body.toString().getBytes(StandardCharsets.UTF_8));
        }

        void close() {
            server.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
