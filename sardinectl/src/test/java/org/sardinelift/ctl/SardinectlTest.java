package org.sardinelift.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.KeyDigest;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.standins.EventLoops;
import org.sardinelift.standins.engine.EngineOptions;
import org.sardinelift.standins.engine.EngineStandin;
import org.sardinelift.standins.engine.EngineText;
import org.sardinelift.standins.platform.Faults;
import org.sardinelift.standins.platform.PlatformOptions;
import org.sardinelift.standins.platform.PlatformStandin;

/** Runs whole commands against the platform stand-in and entries with fixed answers. */
final class SardinectlTest {
    private static final String PEPPER = "pepper-of-the-test";
    private static final String FILE =
            """
            {"objects": [ // a template and its team
              {"kind": "team", "name": "patrol", "value": {"template": "small", "burst": %d}},
              {"kind": "template", "name": "small",
               "value": {"ratePerSecond": 5, "burst": 10, "models": ["registry-llm"]}}]}
            """;

    private PlatformStandin platform;
    private EventLoopGroup group;

    @BeforeEach
    void start() throws BindException {
        platform = PlatformStandin.start(PlatformOptions.defaults());
        group = EventLoops.start("canned", 1);
    }

    @AfterEach
    void stop() {
        platform.close();
        EventLoops.stop(group);
    }

    @Test
    void aRepeatedApplyChangesNothingAndTeamsShowsTheLimits() {
        assertEquals(ExitCode.OK, run(FILE.formatted(20), "apply", "-f", "-").code());
        JsonNode again = run(FILE.formatted(20), "apply", "-f", "-").json();
        assertTrue(again.findValuesAsText("outcome").stream().allMatch("unchanged"::equals));
        assertTrue(run(FILE.formatted(30), "diff", "-f", "-").out().contains("20"));
        JsonNode team = run("", "teams").json().at("/teams/0");
        assertEquals(20, team.path("burst").asInt());
        assertEquals(5, team.path("ratePerSecond").asInt());
    }

    @Test
    void anApplyWhoseAnswersAreLostWritesOnce() {
        platform.setFaults(Faults.parse("{\"loseAnswers\":2}"));
        assertEquals(ExitCode.OK, run(FILE.formatted(20), "apply", "-f", "-").code());
        JsonNode objects = run("", "get").json().path("objects");
        assertEquals(List.of("1", "1"), objects.findValuesAsText("version"));
    }

    /**
     * Guards against a command that runs although its result can't be printed, such as a new key.
     */
    @Test
    void aCommandWithAnUnknownOutputFormatDoesNotRun() {
        Result bad = run(FILE.formatted(20), "apply", "-f", "-", "--output", "xml");

        assertEquals(ExitCode.USAGE, bad.code());
        assertTrue(bad.out().contains("expected json or text, found xml"), bad.out());
        assertEquals(0, run("", "get").json().path("objects").size());
    }

    @Test
    void writesNothingIfACheckFails() {
        Result bad = run(FILE.formatted(-1), "apply", "-f", "-");
        assertEquals(ExitCode.INVALID, bad.code());
        assertTrue(bad.out().contains("team/patrol/burst"), bad.out());
        String orphan = "{\"kind\":\"team\",\"name\":\"x\",\"value\":{\"template\":\"none\"}}";
        assertEquals(ExitCode.INVALID, run(orphan, "apply", "-f", "-").code());
        assertEquals(0, run("", "get").json().path("objects").size());
    }

    @Test
    void anEditOfAnOlderVersionIsRefusedWithTheDifference() {
        run(FILE.formatted(20), "apply", "-f", "-");
        String first = run("", "get", "team/patrol").out();
        run(FILE.formatted(30), "apply", "-f", "-");
        Result outdated = run(first.replace("20", "40"), "apply", "-f", "-");
        assertEquals(ExitCode.CONFLICT, outdated.code());
        assertEquals(40, outdated.json().at("/objects/0/differsFromYours/0/before").asInt());
        assertEquals(30, outdated.json().at("/objects/0/differsFromYours/0/after").asInt());
    }

    @Test
    void aKeyIsShownOnceAndStoredAsItsDigest() {
        run(FILE.formatted(20), "apply", "-f", "-");
        String key = run("", "keys", "issue", "patrol").json().path("key").asText();
        JsonNode stored = run("", "get", "key").json().at("/objects/0");
        assertEquals(KeyDigest.of(PEPPER).digest(key), stored.at("/value/digest").asText());
        assertFalse(stored.toString().contains(key));
        assertEquals(KeyDigest.idOf(key).orElseThrow(), stored.path("name").asText());
        assertEquals(ExitCode.OK, run("", "keys", "withdraw", stored.path("name").asText()).code());
        assertTrue(run("", "get", "key").json().at("/objects/0/value/withdrawn").asBoolean());
        assertEquals(ExitCode.INVALID, run("", "keys", "issue", "nobody").code());
    }

    @Test
    void waitNamesTheInstancesThatHaveNotConfirmed() throws BindException {
        try (HttpServer fresh = startEntry(200, "{\"revision\":99}", new ConcurrentHashMap<>());
                HttpServer stale = startEntry(200, "{\"revision\":1}", new ConcurrentHashMap<>())) {
            String both = "127.0.0.1:" + fresh.port() + ",127.0.0.1:" + stale.port();
            Result result =
                    run(
                            FILE.formatted(20),
                            "apply",
                            "-f",
                            "-",
                            "--wait",
                            "--wait-ms",
                            "300",
                            "--operators",
                            both);
            assertEquals(ExitCode.UNCONFIRMED, result.code());
            assertEquals(
                    "127.0.0.1:" + stale.port(),
                    result.json().at("/confirmation/missing/0/address").asText());
            assertEquals(1, result.json().at("/confirmation/confirmed").asInt());
        }
    }

    @Test
    void aJobIsSentWithItsKeyAndARefusalIsPrinted() throws BindException {
        Map<String, String> received = new ConcurrentHashMap<>();
        String problem =
                "{\"kind\":\"job_conflict\",\"outcome\":\"not_run\",\"detail\":\"other content\","
                        + "\"remedy\":\"Use another job key.\"}";
        try (HttpServer entry = startEntry(409, problem, received)) {
            Result result =
                    run(
                            "{\"line\":1}\n",
                            "batch",
                            "submit",
                            "-",
                            "--job-key",
                            "night-1",
                            "--entry",
                            "127.0.0.1:" + entry.port(),
                            "--key",
                            "sl_a_b");
            assertEquals(ExitCode.REFUSED, result.code());
            assertEquals("job_conflict", result.json().path("kind").asText());
        }
        assertEquals("night-1", received.get("Job-Key"));
        assertEquals("Bearer sl_a_b", received.get("Authorization"));
        assertEquals("{\"line\":1}\n", received.get("body"));
    }

    @Test
    void askReturnsTheCompleteAnswer() throws BindException {
        try (EngineStandin engine = EngineStandin.start(EngineOptions.defaults())) {
            Result result =
                    run(
                            "",
                            "ask",
                            "Ūdens?",
                            "--model",
                            "registry-llm",
                            "--max-tokens",
                            "7",
                            "--entry",
                            "127.0.0.1:" + engine.port(),
                            "--key",
                            "sl_a_b");
            assertEquals(
                    EngineText.generate("user: Ūdens?", 7), result.json().path("answer").asText());
        }
    }

    @Test
    void commandsHaveHelpAndAWrongCommandLineExitsWithUsage() {
        assertTrue(run("", "--help").out().contains("keys withdraw"));
        assertEquals(ExitCode.OK, run("", "batch", "cancel", "--help").code());
        assertEquals(ExitCode.USAGE, run("", "batch").code());
        assertEquals(ExitCode.USAGE, run("", "get", "--nope").code());
        platform.close();
        assertEquals(ExitCode.UNREACHABLE, run("", "get").code());
    }

    private HttpServer startEntry(int status, String body, Map<String, String> received)
            throws BindException {
        return HttpServer.start(
                group,
                "127.0.0.1",
                0,
                HttpLimits.defaults(),
                null,
                exchange -> {
                    recordRequest(exchange, received);
                    exchange.respondJson(status, body);
                });
    }

    private static void recordRequest(HttpExchange exchange, Map<String, String> received) {
        Stream.of("Job-Key", "Authorization")
                .filter(name -> exchange.header(name) != null)
                .forEach(name -> received.put(name, exchange.header(name)));
        received.put("body", exchange.bodyText());
    }

    private Result run(String input, String... args) {
        String[] all =
                Stream.concat(Stream.of(args), Stream.of("--output", "json"))
                        .toArray(String[]::new);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        Map<String, String> environment =
                Map.of(
                        "SARDINELIFT_PLATFORM",
                        "127.0.0.1:" + platform.port(),
                        "SARDINELIFT_PEPPER",
                        PEPPER);
        ExitCode code =
                Sardinectl.run(
                        args[0].equals("--help") ? args : all,
                        environment,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        stream,
                        stream);
        return new Result(code, out.toString(StandardCharsets.UTF_8));
    }

    private record Result(ExitCode code, String out) {
        JsonNode json() {
            return Json.parseOrMissing(out);
        }
    }
}
