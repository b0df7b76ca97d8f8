package org.sardinelift.standins.plain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.Json;

final class PlainStandinTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final EventLoopGroup group = EventLoops.start("test", 1);
    private final HttpClient client = HttpClient.create(group, TIMEOUT, null);

    @AfterEach
    void stop() {
        EventLoops.stop(group);
    }

    @Test
    void countsEachEffectAndShowsWhatItReceived() throws BindException {
        try (PlainStandin service = PlainStandin.start(PlainOptions.defaults())) {
            send(service, "notice-1", "a");
            JsonNode echo = Json.parse(send(service, "notice-1", "b").text());
            send(service, "notice-2", "c");
            assertEquals(2, service.effectCount("notice-1"));
            assertEquals(1, service.effectCount("notice-2"));
            assertEquals("b", echo.path("body").asText());
            assertEquals("notice-1", echo.at("/headers/X-Effect-Id").asText());
        }
    }

    @Test
    void aFailureComesAfterTheEffect() throws BindException {
        PlainOptions failing = PlainOptions.defaults().withFailures(2, 3);
        try (PlainStandin service = PlainStandin.start(failing)) {
            assertEquals(200, send(service, "first", "").status());
            assertEquals(500, send(service, "second", "").status());
            assertThrows(CompletionException.class, () -> send(service, "third", ""));
            assertEquals(1, service.effectCount("second"));
            assertEquals(1, service.effectCount("third"));
        }
    }

    private BufferedHttpResponse send(PlainStandin service, String effect, String body) {
        return client.call(
                        HttpCall.of(
                                "127.0.0.1",
                                service.port(),
                                "PUT",
                                "/notices/7",
                                Map.of("X-Effect-Id", effect),
                                body.getBytes(StandardCharsets.UTF_8),
                                TIMEOUT))
                .join();
    }
}
