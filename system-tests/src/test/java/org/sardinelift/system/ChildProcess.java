package org.sardinelift.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a program of the workspace as a separate process. */
final class ChildProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private final Process process;
    private final JsonNode readyLine;

    private ChildProcess(Process process, JsonNode readyLine) {
        this.process = process;
        this.readyLine = readyLine;
    }

    /** Starts a program and waits until it prints its ready line. */
    static ChildProcess start(Path log, int heapMegabytes, String jar, String... args)
            throws IOException {
        List<String> command = new ArrayList<>(javaCommand(heapMegabytes, jar));
        command.addAll(List.of(args));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        if (line == null) {
            throw new IOException(jar + " exited before it was ready; see " + log);
        }
        return new ChildProcess(process, new ObjectMapper().readTree(line));
    }

    /** Runs a program until it exits and returns its output. */
    static Output run(Path log, String jar, String... args) throws IOException {
        List<String> command = new ArrayList<>(javaCommand(64, jar));
        command.addAll(List.of(args));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Output(process.onExit().join().exitValue(), text);
    }

    private static List<String> javaCommand(int heapMegabytes, String jar) {
        Path root = Path.of(System.getProperty("workspace.root"));
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                root.resolve(jar).resolve("target").resolve(jar + ".jar").toString());
    }

    /** Returns a field of the ready line. */
    String readyField(String field) {
        return readyLine.path(field).asText();
    }

    /** Returns the port of an address in the ready line. */
    int port(String field) {
        String address = readyField(field);
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Sends SIGKILL and waits for the exit. */
    void kill() {
        process.destroyForcibly().onExit().join();
    }

    /** Sends SIGSTOP: the process keeps its memory and connections but does not run. */
    void suspend() throws IOException {
        signal("-STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException {
        signal("-CONT");
    }

    /** Sends SIGTERM without waiting for the exit. */
    void terminate() {
        process.destroy();
    }

    /** Waits for the process to exit and returns its exit code. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "the process did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
        }
        return process.exitValue();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    private void signal(String name) throws IOException {
        new ProcessBuilder("kill", name, String.valueOf(process.pid())).start().onExit().join();
    }

    @Override
    public void close() {
        kill();
    }

    /** Exit code and standard output of a finished program. */
    record Output(int exitCode, String text) {}
}
