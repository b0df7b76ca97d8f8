package org.sardinelift.standins.engine;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpResponseListener;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.Json;

final class EngineStandinTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STEP_TIME = Duration.ofMillis(1);
    private static final String PROMPT = "user: tag 41";

    private EventLoopGroup group;
    private HttpClient client;
    private EngineStandin engine;

    @BeforeEach
    void start() throws BindException {
        group = EventLoops.start("test", 1);
        client = HttpClient.create(group, TIMEOUT, null);
        restart(EngineOptions.defaults().withSpeed(4, STEP_TIME));
    }

    @AfterEach
    void stop() {
        engine.close();
        EventLoops.stop(group);
    }

    @Test
    void streamedAndWholeAnswersHaveTheSameText() {
        String expected = EngineText.generate(PROMPT, 12);
        BufferedHttpResponse whole = post("/v1/chat/completions", "r1", chat(12, false));
        BufferedHttpResponse stream = post("/v1/chat/completions", "r2", chat(12, true));
        JsonNode body = Json.parse(whole.text());
        assertEquals(expected, body.at("/choices/0/message/content").asText());
        assertEquals(12, body.at("/usage/completion_tokens").asInt());
        long ageSeconds = Instant.now().getEpochSecond() - body.path("created").asLong();
        assertTrue(ageSeconds >= 0 && ageSeconds < 60, "created " + ageSeconds + " s ago");
        assertEquals(expected, streamedText(stream.text()));
        assertTrue(stream.text().endsWith("data: [DONE]\n\n"));
    }

    @Test
    void aClosedConnectionCancelsAndAResumeContinuesFromTheOffset() {
        ByteArrayOutputStream first = new ByteArrayOutputStream();
        Runnable closeConnection =
                client.send(
                        call("POST", "/v1/chat/completions", "r3", chat(400, true)),
                        new CollectingListener(first));
        await().until(() -> size(first) > 500);
        closeConnection.run();
        await().until(() -> engine.counters().path("cancelled").asInt() == 1);
        long tokens = engine.counters().path("tokens").asLong();
        byte[] received;
        synchronized (first) {
            received = first.toByteArray();
        }
        BufferedHttpResponse rest = post("/resume/r3?offset=" + received.length, "r3", "");
        assertEquals(
                EngineText.generate(PROMPT, 400),
                streamedText(new String(received, StandardCharsets.UTF_8) + rest.text()));
        assertEquals(400, engine.counters().path("tokens").asLong());
        assertTrue(tokens < 400);
    }

    @Test
    void aCancelledRequestIsCutOff() {
        var answer = client.call(call("POST", "/v1/completions", "r4", completion("x", 4_000)));
        await().until(() -> engine.counters().path("started").asInt() == 1);
        assertEquals(200, post("/cancel/r4", "c", "").status());
        assertThrows(CompletionException.class, answer::join);
        assertEquals(404, post("/cancel/r4", "c", "").status());
    }

    @Test
    void aCrashDropsAllConnectionsAndClearsTheState() throws BindException {
        restart(
                EngineOptions.defaults()
                        .withSpeed(4, STEP_TIME)
                        .withDropOnMarker("BOOM", TIMEOUT.dividedBy(50)));
        var innocent = client.call(call("POST", "/v1/completions", "i", completion("x", 4_000)));
        var marked = client.call(call("POST", "/v1/completions", "m", completion("BOOM", 4)));
        assertThrows(CompletionException.class, marked::join);
        assertThrows(CompletionException.class, innocent::join);
        await().until(() -> isAnswered(completion("y", 3)));
        assertEquals(1, engine.counters().path("crashes").asInt());
    }

    @Test
    void anOldFencingNumberIsRefusedOnlyWhereItIsChecked() throws BindException {
        assertEquals(200, order(5, "adapter-a"));
        assertEquals(409, order(4, "adapter-b"));
        assertTrue(get("/v1/models").contains("adapter-a"));
        restart(EngineOptions.defaults().withFenceCheck(false));
        assertEquals(200, order(5, "adapter-a"));
        assertEquals(200, order(4, "adapter-b"));
    }

    @Test
    void aCachedPrefixIsNotPrefilledAgain() {
        String prompt = "p".repeat(640);
        post("/v1/completions", "a", completion(prompt, 1));
        assertEquals(0, engine.counters().path("cachedTokens").asInt());
        post("/v1/completions", "b", completion(prompt + " more", 1));
        assertEquals(160, engine.counters().path("cachedTokens").asInt());
    }

    @Test
    void requestsBeyondTheSlotsWaitOrSlowAllOthers() throws BindException {
        EngineOptions fourSlots = EngineOptions.defaults().withSpeed(4, Duration.ofMillis(10));
        restart(fourSlots);
        assertEquals(4, maxRunningOf(12));
        restart(fourSlots.withOverload(Overload.SLOW));
        assertEquals(12, maxRunningOf(12));
    }

    private int maxRunningOf(int requests) {
        List<String> answers =
                Stream.iterate(0, index -> index + 1)
                        .limit(requests)
                        .map(
                                index ->
                                        call(
                                                "POST",
                                                "/v1/completions",
                                                "q" + index,
                                                completion("x", 40)))
                        .map(client::call)
                        .toList()
                        .stream()
                        .map(answer -> answer.join().text())
                        .toList();
        assertTrue(answers.stream().allMatch(text -> text.contains(EngineText.generate("x", 40))));
        return engine.counters().path("mostRunning").asInt();
    }

    private void restart(EngineOptions options) throws BindException {
        if (engine != null) {
            engine.close();
        }
        engine = EngineStandin.start(options);
    }

    private int order(int fence, String model) {
        String body = "{\"action\":\"load\",\"subject\":\"" + model + "\",\"version\":\"2\"}";
        Map<String, String> headers = Map.of("Fence", Integer.toString(fence));
        return client.call(request("POST", "/orders", headers, body)).join().status();
    }

    private boolean isAnswered(String body) {
        return client.call(call("POST", "/v1/completions", "again", body))
                .handle((answer, error) -> error == null && answer.status() == 200)
                .join();
    }

    private BufferedHttpResponse post(String uri, String id, String body) {
        return client.call(call("POST", uri, id, body)).join();
    }

    private String get(String uri) {
        return client.call(call("GET", uri, "get", "")).join().text();
    }

    private HttpCall call(String method, String uri, String id, String body) {
        return request(method, uri, Map.of("X-Request-Id", id), body);
    }

    private HttpCall request(String method, String uri, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return HttpCall.of("127.0.0.1", engine.port(), method, uri, headers, bytes, TIMEOUT);
    }

    private static String chat(int tokens, boolean stream) {
        return """
        {"model":"registry-llm","max_tokens":%d,"stream":%b,
         "messages":[{"role":"user","content":"tag 41"}]}"""
                .formatted(tokens, stream);
    }

    private static String completion(String prompt, int tokens) {
        return "{\"model\":\"registry-llm\",\"prompt\":\"%s\",\"max_tokens\":%d}"
                .formatted(prompt, tokens);
    }

    private static String streamedText(String events) {
        return events.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.parse(line.substring("data: ".length())))
                .map(event -> event.at("/choices/0/delta/content").asText())
                .collect(Collectors.joining());
    }

    private static int size(ByteArrayOutputStream bytes) {
        synchronized (bytes) {
            return bytes.size();
        }
    }

    private record CollectingListener(ByteArrayOutputStream bytes) implements HttpResponseListener {
        @Override
        public void onHead(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public void onData(byte[] part) {
            synchronized (bytes) {
                bytes.writeBytes(part);
            }
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(Throwable cause, boolean mayHaveRun) {}
    }
}
