package org.sardinelift.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.engine.EngineOptions;
import org.sardinelift.standins.engine.EngineStandin;

/** Counts of requests, tokens and refusals must agree with what the server did. */
final class LoadGeneratorTest {
    private static final int TOKENS = 5;
    private static final TeamLoad TEAM = new TeamLoad("patrol", "sl_a_b", 100, 10, 1);

    private final EventLoopGroup group = EventLoops.start("test", 1);
    private final HttpClient client = HttpClient.create(group, Duration.ofSeconds(5), null);
    private final LoadGenerator generator =
            LoadGenerator.of(client, new RequestTemplate("r", "registry-llm", TOKENS, 64));

    @AfterEach
    void stop() {
        EventLoops.stop(group);
    }

    @Test
    void countsEveryTokenOfEveryAnswer() throws BindException {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.defaults())) {
            LoadResult result =
                    generator.send(arrivals(20), new Endpoint("127.0.0.1", engine.port()));
            assertEquals(20, result.served());
            Endpoint engineAddress = new Endpoint("127.0.0.1", engine.port());
            assertEquals(
                    OptionalLong.of(20), EngineCompletions.read(client, List.of(engineAddress)));
            assertEquals(20 * TOKENS, result.tokens());
            assertEquals(20, result.timeToFirstToken().getTotalCount());
            assertEquals(20 * (TOKENS - 1), result.interTokenLatency().getTotalCount());
            assertEquals(0, result.failed());
            assertEquals(2.0, result.worstServed().orElseThrow().getValue().servedFraction());
        }
    }

    @Test
    void keepsTheGivenNumberOfRequestsInFlight() throws BindException {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.defaults())) {
            LoadResult result =
                    generator.saturate(
                            TEAM,
                            3,
                            Duration.ofMillis(300),
                            new Endpoint("127.0.0.1", engine.port()));
            assertEquals(3, engine.counters().path("mostRunning").asInt());
            assertEquals(engine.counters().path("completed").asLong(), result.served());
            assertEquals(0, result.failed());
        }
    }

    @Test
    void countsRefusalsWithinTheRateAsWrong() throws BindException {
        try (HttpServer entry = startEntry(429)) {
            LoadResult result =
                    generator.send(arrivals(20), new Endpoint("127.0.0.1", entry.port()));
            TeamCounts counts = result.teams().get("patrol");
            assertEquals(new TeamCounts(20, 10, 0, 20), counts);
            assertEquals(10, result.wronglyRefused());
            assertEquals(0, result.failed());
        }
    }

    @Test
    void forATeamOverItsRateOnlyTheNumberServedCounts() {
        assertEquals(0, new TeamCounts(20, 10, 10, 10).wronglyRefused());
        assertEquals(3, new TeamCounts(20, 10, 7, 13).wronglyRefused());
        assertEquals(1, new TeamCounts(10, 10, 7, 1).wronglyRefused());
    }

    @Test
    void anErrorAnswerIsCountedAsFailedWithoutTokens() throws BindException {
        try (HttpServer entry = startEntry(500)) {
            LoadResult result =
                    generator.send(arrivals(4), new Endpoint("127.0.0.1", entry.port()));
            assertEquals(4, result.failed());
            assertEquals(0, result.tokens());
        }
    }

    @Test
    void findsEventsThatArriveInPieces() throws ExecutionException, InterruptedException {
        StreamTimer timer = new StreamTimer(arrivals(1).get(0), 0, gap -> {});
        timer.onHead(200, List.of());
        "data: {\"a\":1}\n\ndata: {\"text\":\"data: {\"}\n\ndata: {}\n\ndata: [DONE]\n\n"
                .chars()
                .forEach(next -> timer.onData(new byte[] {(byte) next}));
        timer.onEnd();
        assertEquals(2, timer.result().get().tokens());
    }

    @Test
    void readsTheResourceUsageOfAProcess() throws IOException {
        ProcessSample before = ProcessSample.read(ProcessHandle.current().pid());
        int sum = IntStream.range(0, 50_000_000).map(each -> each ^ 7).reduce(0, Integer::sum);
        ProcessSample after = ProcessSample.read(ProcessHandle.current().pid());
        assertTrue(after.cpuSeconds() >= before.cpuSeconds(), String.valueOf(sum));
        assertTrue(after.residentBytes() > 1_000_000);
        assertTrue(after.ioBytes() > before.ioBytes());
    }

    private HttpServer startEntry(int status) throws BindException {
        byte[] body = "{\"kind\":\"x\"}".getBytes(StandardCharsets.UTF_8);
        return HttpServer.start(
                group,
                "127.0.0.1",
                0,
                HttpLimits.defaults(),
                null,
                exchange -> exchange.respond(status, java.util.Map.of(), body));
    }

    private static List<Arrival> arrivals(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Arrival(number * 1_000_000L, TEAM, number < 10, number))
                .toList();
    }
}
