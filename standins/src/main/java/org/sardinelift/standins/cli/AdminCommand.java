package org.sardinelift.standins.cli;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.standins.EventLoops;

/** Sends one request to a stand-in and prints the response body. */
public final class AdminCommand extends Command {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int FIRST_ERROR_STATUS = 400;

    /** Creates the command. */
    public AdminCommand() {
        super("admin");
    }

    @Override
    Options options() {
        return new Options()
                .addOption(optionWithValue("to", "HOST:PORT", "address of the stand-in, required"))
                .addOption(
                        optionWithValue(
                                "path", "PATH", "path and query, such as /admin/faults, required"))
                .addOption(
                        optionWithValue("method", "METHOD", "default POST with --json, else GET"))
                .addOption(optionWithValue("json", "JSON", "request body"));
    }

    @Override
    int run(CommandLine line) throws IOException {
        String[] address = required(line, "to").split(":", 2);
        if (address.length != 2) {
            throw new IllegalArgumentException("--to: expected HOST:PORT");
        }
        String body = line.getOptionValue("json", "");
        String method = line.getOptionValue("method", body.isEmpty() ? "GET" : "POST");
        HttpCall call =
                HttpCall.of(
                        address[0],
                        Integer.parseInt(address[1]),
                        method,
                        required(line, "path"),
                        Map.of("content-type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8),
                        REQUEST_TIMEOUT);
        EventLoopGroup group = EventLoops.start("admin", 1);
        try {
            BufferedHttpResponse answer =
                    HttpClient.create(group, REQUEST_TIMEOUT, null).call(call).join();
            System.out.println(answer.text());
            return answer.status() < FIRST_ERROR_STATUS ? 0 : 1;
        } catch (CompletionException e) {
            throw new IOException(
                    "No response from " + line.getOptionValue("to") + ": " + e.getMessage(), e);
        } finally {
            EventLoops.stop(group);
        }
    }

    private static String required(CommandLine line, String option) {
        String value = line.getOptionValue(option);
        if (value == null) {
            throw new IllegalArgumentException("--" + option + " is missing");
        }
        return value;
    }
}
