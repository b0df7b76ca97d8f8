package org.sardinelift.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.standins.platform.Faults;
import org.sardinelift.standins.platform.PlatformOptions;
import org.sardinelift.standins.platform.PlatformStandin;

/** Runs the roll-out commands against the platform stand-in, without an entry. */
final class RolloutCommandsTest {
    private static final String SERVICES =
            """
            {"objects": [
              {"kind": "service", "name": "registry",
               "value": {"engine": true, "models": ["m"]}},
              {"kind": "service", "name": "tags", "value": {"engine": false}}]}
            """;

    private PlatformStandin platform;

    @BeforeEach
    void start() throws BindException {
        platform = PlatformStandin.start(PlatformOptions.defaults());
        assertEquals(ExitCode.OK, run(SERVICES, "apply", "-f", "-").code());
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    @Test
    void nothingIsWrittenIfACheckFails() {
        assertEquals(ExitCode.INVALID, startRollout("nowhere", "m").code());
        assertEquals(ExitCode.INVALID, startRollout("tags", "m").code());
        Result model = startRollout("registry", "other");
        assertEquals(ExitCode.INVALID, model.code());
        assertTrue(model.out().contains("rollout/model"), model.out());
        assertEquals(
                ExitCode.INVALID, startRollout("registry", "m", "--least-serving", "1.5").code());
        assertEquals(ExitCode.USAGE, startRollout("registry", "m", "--role", "decode").code());
        assertEquals(0, run("", "rollout", "status").json().path("rollouts").size());
    }

    @Test
    void aSecondRolloutOfTheSameNameIsRefusedUntilTheFirstIsStopped() {
        assertEquals(ExitCode.OK, startRollout("registry", "m").code());
        assertEquals(ExitCode.REFUSED, startRollout("registry", "m").code());
        JsonNode waiting = run("", "rollout", "status", "registry/m").json().at("/rollouts/0");
        assertEquals("WAITING", waiting.path("phase").asText());
        assertEquals(ExitCode.OK, run("", "rollout", "stop", "registry/m").code());
        assertEquals(ExitCode.OK, run("", "rollout", "stop", "registry/m").code());
        assertEquals(ExitCode.OK, startRollout("registry", "m").code());
        assertEquals(ExitCode.REFUSED, run("", "rollout", "stop", "registry/x").code());
        assertEquals(
                ExitCode.OK, run("", "rollout", "start", "registry", "--role", "decode").code());
        assertEquals(2, run("", "rollout", "status").json().path("rollouts").size());
    }

    @Test
    void aStartWhoseAnswerIsLostSucceedsAndAnOutageIsReported() {
        platform.setFaults(Faults.parse("{\"loseAnswers\":1}"));
        assertEquals(ExitCode.OK, startRollout("registry", "m").code());
        platform.close();
        assertEquals(ExitCode.UNREACHABLE, startRollout("registry", "m").code());
        assertEquals(ExitCode.UNREACHABLE, run("", "rollout", "status").code());
    }

    private Result startRollout(String service, String model, String... more) {
        String[] args = {"rollout", "start", service, "--model", model, "--model-version", "2"};
        return run("", Stream.concat(Stream.of(args), Stream.of(more)).toArray(String[]::new));
    }

    private Result run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        ExitCode code =
                Sardinectl.run(
                        Stream.concat(Stream.of(args), Stream.of("--output", "json"))
                                .toArray(String[]::new),
                        Map.of("SARDINELIFT_PLATFORM", "127.0.0.1:" + platform.port()),
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
