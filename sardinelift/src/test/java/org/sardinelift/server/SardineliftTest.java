package org.sardinelift.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SardineliftTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir private Path folder;

    private ExitCode run(String... args) {
        return Sardinelift.run(new PrintStream(out, true), new PrintStream(err, true), args);
    }

    private Path settings(String json) throws IOException {
        return Files.writeString(folder.resolve("settings.json"), json);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Test
    void helpAndVersionStartNothing() {
        assertEquals(ExitCode.OK, run("--help"));
        assertEquals(ExitCode.OK, run("--version"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("--check-settings"));
    }

    @Test
    void invalidCommandLineExitsWithUsage() {
        assertEquals(ExitCode.USAGE, run());
        assertEquals(ExitCode.USAGE, run("--no-such-option"));
    }

    @Test
    void everySettingsErrorIsPrintedWithItsPath() throws IOException {
        Path file =
                settings("{\"role\": \"companion\", \"instance\": \"c1\", \"zone\": 7, \"x\": 1}");

        assertEquals(ExitCode.BAD_SETTINGS, run("--settings", file.toString()));
        assertTrue(errors().contains("/zone: expected"), errors());
        assertTrue(errors().contains("/x: expected"), errors());
        assertTrue(errors().contains("/target/name: expected"), errors());
    }

    @Test
    void validSettingsAreCheckedWithoutAStart() throws IOException {
        Path file =
                settings(
                        "{\"role\": \"entry\", \"instance\": \"e1\", \"zone\": \"z1\","
                                + " \"platform\": {\"port\": 1}, \"keyPepper\": \"p\"}");

        assertEquals(ExitCode.OK, run("--check-settings", "--settings", file.toString()));
    }
}
