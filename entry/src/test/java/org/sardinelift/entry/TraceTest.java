package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.RunOutcome;
import org.sardinelift.protocol.generated.Start;

/**
 * Guards against calls whose spans are missing, are outside the caller's trace or end at the wrong
 * time.
 */
class TraceTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
    private static final String CALLER_SPAN = "b7ad6b7169203331";

    @TempDir private Path folder;
    private EntryFixture fixture;

    @BeforeEach
    void start() {
        fixture = EntryFixture.create();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private EntryProcess entry() throws Exception {
        return fixture.startEntry("e1", ",\"traces\":{\"file\":\"%s\"}".formatted(file()));
    }

    private Path file() {
        return folder.resolve("spans");
    }

    private BufferedHttpResponse chat(EntryProcess entry, String model) throws Exception {
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        headers.put("traceparent", "00-" + TRACE_ID + "-" + CALLER_SPAN + "-01");
        String body = "{\"model\":\"%s\",\"messages\":[{\"content\":\"a\"}]}".formatted(model);
        return fixture.send(entry, "POST", "/v1/chat/completions", headers, body);
    }

    /** Closes the entry, which writes the remaining spans, and reads all spans. */
    private List<JsonNode> spans(EntryProcess entry) throws IOException {
        entry.close();
        List<JsonNode> spans = new ArrayList<>();
        for (String line : Files.readAllLines(file())) {
            spans.add(MAPPER.readTree(line));
        }
        spans.forEach(
                span -> assertEquals(TRACE_ID, span.path("traceId").asText(), span.toString()));
        return spans;
    }

    private static List<JsonNode> spansNamed(List<JsonNode> spans, String name) {
        return spans.stream().filter(span -> span.path("name").asText().equals(name)).toList();
    }

    private static JsonNode singleSpan(
            List<JsonNode> spans, String name, String kind, String parent) {
        List<JsonNode> found = spansNamed(spans, name);
        assertEquals(1, found.size(), spans.toString());
        assertEquals(kind, found.get(0).path("kind").asText());
        assertEquals(parent, found.get(0).path("parentSpanId").asText());
        return found.get(0);
    }

    private static String spanId(JsonNode span) {
        return span.path("spanId").asText();
    }

    private static String traceparent(JsonNode span) {
        return "00-" + TRACE_ID + "-" + spanId(span) + "-01";
    }

    @Test
    void eachHopOfACallHasASpanInTheCallersTrace() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = entry();

        assertEquals(200, chat(entry, "m1").status());

        List<JsonNode> spans = spans(entry);
        JsonNode call = singleSpan(spans, "entry.call", "SERVER", CALLER_SPAN);
        singleSpan(spans, "entry.queue", "INTERNAL", spanId(call));
        JsonNode attempt = singleSpan(spans, "entry.attempt", "CLIENT", spanId(call));
        assertEquals(3, spans.size(), spans.toString());
        assertEquals(traceparent(attempt), companion.starts.get(0).getTraceparent());
    }

    @Test
    void eachAttemptHasItsOwnSpan() throws Exception {
        FakeCompanion first = fixture.startCompanion("c1", "engine", "m1");
        FakeCompanion second = fixture.startCompanion("c2", "engine", "m1");
        List<Start> starts = new ArrayList<>();
        for (FakeCompanion companion : List.of(first, second)) {
            companion.onStart((self, start) -> failFirst(self, start, starts));
        }
        EntryProcess entry = entry();

        assertEquals(200, chat(entry, "m1").status());

        List<JsonNode> spans = spans(entry);
        JsonNode call = singleSpan(spans, "entry.call", "SERVER", CALLER_SPAN);
        List<JsonNode> attempts = spansNamed(spans, "entry.attempt");
        assertEquals(2, attempts.size(), spans.toString());
        for (int i = 0; i < attempts.size(); i++) {
            assertEquals(spanId(call), attempts.get(i).path("parentSpanId").asText());
            assertEquals(traceparent(attempts.get(i)), starts.get(i).getTraceparent());
        }
        assertEquals("ERROR", attempts.get(0).path("status").asText());
        assertNotEquals("ERROR", attempts.get(1).path("status").asText());
    }

    private static void failFirst(FakeCompanion companion, Start start, List<Start> starts) {
        synchronized (starts) {
            starts.add(start);
            if (starts.size() > 1) {
                companion.echo(start);
                return;
            }
        }
        companion.sendFinish(start, 0, RunOutcome.NOT_RUN, FailureKind.QUEUE_FULL);
    }

    @Test
    void aRefusedCallHasNoAttemptSpan() throws Exception {
        fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = entry();

        assertTrue(chat(entry, "m9").status() >= 400);

        List<JsonNode> spans = spans(entry);
        JsonNode call = singleSpan(spans, "entry.call", "SERVER", CALLER_SPAN);
        singleSpan(spans, "entry.queue", "INTERNAL", spanId(call));
        assertEquals(2, spans.size(), spans.toString());
    }

    @Test
    void requestsThatNoTargetAnswersEndTheirSpans() throws Exception {
        fixture.startCompanion("c1", "engine", "m1");
        EntryProcess entry = entry();
        Map<String, String> headers = new HashMap<>(EntryFixture.authorized());
        headers.put("traceparent", "00-" + TRACE_ID + "-" + CALLER_SPAN + "-01");
        List<String> paths = List.of("/v1/models", "/v1/batches", "/v1/batches/none/results");
        for (String path : paths) {
            BufferedHttpResponse answer = fixture.send(entry, "GET", path, headers, "");
            assertFalse(answer.header("x-request-id").isEmpty(), path);
        }

        List<JsonNode> spans = spans(entry);
        assertEquals(paths.size(), spansNamed(spans, "entry.call").size(), spans.toString());
        assertEquals(paths.size(), spansNamed(spans, "entry.queue").size(), spans.toString());
    }

    @Test
    void theQueueSpanEndsWhenTheCallIsDispatched() throws Exception {
        FakeCompanion companion = fixture.startCompanion("c1", "engine", "m1");
        CompletableFuture<Start> started = new CompletableFuture<>();
        companion.onStart((self, start) -> started.complete(start));
        EntryProcess entry = entry();
        CompletableFuture<BufferedHttpResponse> answer =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return chat(entry, "m1");
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        companion.echo(started.get());
        assertEquals(200, answer.get().status());

        List<JsonNode> spans = spans(entry);
        List<String> order = spans.stream().map(span -> span.path("name").asText()).toList();
        assertEquals(List.of("entry.queue", "entry.attempt", "entry.call"), order);
    }
}
