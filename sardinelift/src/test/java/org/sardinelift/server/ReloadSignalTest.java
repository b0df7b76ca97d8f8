package org.sardinelift.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that SIGHUP terminates while it starts: an operator may change the
 * settings at any moment, also before they have been read.
 */
class ReloadSignalTest {
    @TempDir private Path folder;

    @Test
    @Timeout(20)
    void aSignalWhileTheSettingsAreReadDoesNotTerminateTheProcess() throws Exception {
        Path settings = folder.resolve("settings.json");
        assertEquals(0, new ProcessBuilder("mkfifo", settings.toString()).start().waitFor());
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Sardinelift.class.getName(),
                                "--check-settings",
                                "--settings",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        // Opening the pipe blocks until the process has opened it to read the settings.
        try (OutputStream pipe = Files.newOutputStream(settings)) {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                            .start()
                            .waitFor());
            process.waitFor(500, TimeUnit.MILLISECONDS);
            pipe.write(
                    ("{\"role\": \"entry\", \"instance\": \"e1\", \"zone\": \"z1\","
                                    + " \"platform\": {\"port\": 1}, \"keyPepper\": \"p\"}")
                            .getBytes(StandardCharsets.UTF_8));
        }
        assertEquals(ExitCode.OK.code(), process.waitFor());
    }
}
