package org.sardinelift.system;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Streamed chat requests in progress. */
final class Streams {
    private static final long ANSWER_TIMEOUT_SECONDS = 90;

    private final List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    private final AtomicInteger openCount = new AtomicInteger();

    /** Sends a request whose answer is streamed. */
    void open(Fleet fleet, HttpRequest.Builder call) {
        answers.add(
                fleet.http.sendAsync(
                        call.build(),
                        info -> {
                            openCount.incrementAndGet();
                            return HttpResponse.BodySubscribers.ofString(
                                    java.nio.charset.StandardCharsets.UTF_8);
                        }));
    }

    /** Returns the number of streams whose status and headers have arrived. */
    int openCount() {
        return openCount.get();
    }

    /** Waits for all streams to end and returns their bodies; a failed one gives its error. */
    List<String> awaitBodies() throws IOException {
        List<String> bodies = new ArrayList<>();
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            try {
                bodies.add(answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS).body());
            } catch (ExecutionException e) {
                bodies.add("stream failed: " + e.getCause());
            } catch (InterruptedException | java.util.concurrent.TimeoutException e) {
                throw new IOException(e);
            }
        }
        return bodies;
    }

    /** Returns the tokens of a streamed answer, in order. */
    static List<String> tokens(Fleet fleet, String body) {
        return body.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> fleet.parseJson(line.substring("data: ".length())))
                .map(chunk -> chunk.path("choices").path(0).path("delta").path("content"))
                .filter(content -> content.isTextual())
                .map(content -> content.asText().strip())
                .toList();
    }

    /** Returns whether a streamed answer is complete and has no error. */
    static boolean isComplete(String body) {
        return body.strip().endsWith("data: [DONE]") && !body.contains("\"error\"");
    }
}
