package org.sardinelift.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

/** A batch job submitted to an entry. */
public final class BatchJob {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);
    private static final int FIRST_ERROR_STATUS = 400;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final HttpClient client;
    private final Endpoint entry;
    private final String key;
    private final String id;

    private BatchJob(HttpClient client, Endpoint entry, String key, String id) {
        this.client = client;
        this.entry = entry;
        this.key = key;
        this.id = id;
    }

    /**
     * Submits a job.
     *
     * @param client HTTP client to send with
     * @param entry callers' port of an entry
     * @param key key of the team that submits it
     * @param template what each item requests
     * @param items number of items
     * @return the job
     * @throws IllegalStateException if the entry refuses it; the message has its answer
     */
    public static BatchJob submit(
            HttpClient client, Endpoint entry, String key, RequestTemplate template, int items) {
        String body =
                IntStream.range(0, items)
                        .mapToObj(template::batchLine)
                        .collect(Collectors.joining("\n", "", "\n"));
        Map<String, String> headers =
                Map.of(
                        "content-type",
                        "application/jsonl",
                        "authorization",
                        "Bearer " + key,
                        "Job-Key",
                        template.runName());
        JsonNode answer = json(client, call(entry, "POST", "/v1/batches", headers, body));
        return new BatchJob(client, entry, key, answer.path("id").asText());
    }

    /**
     * Returns the number of items completed so far.
     *
     * @return number of items
     */
    public long completed() {
        return json(client, jobCall("GET", "")).at("/request_counts/completed").asLong();
    }

    /** Cancels the items that are not completed. */
    public void cancel() {
        json(client, jobCall("POST", "/cancel"));
    }

    private HttpCall jobCall(String method, String action) {
        return call(
                entry,
                method,
                "/v1/batches/" + id + action,
                Map.of("authorization", "Bearer " + key),
                "");
    }

    private static HttpCall call(
            Endpoint entry, String method, String uri, Map<String, String> headers, String body) {
        return HttpCall.of(
                entry.host(),
                entry.port(),
                method,
                uri,
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                READ_TIMEOUT);
    }

    private static JsonNode json(HttpClient client, HttpCall call) {
        try {
            BufferedHttpResponse answer = client.call(call).join();
            if (answer.status() >= FIRST_ERROR_STATUS) {
                throw new IllegalStateException(
                        call.method() + " " + call.uri() + " was refused: " + answer.text());
            }
            return MAPPER.readTree(answer.text());
        } catch (JsonProcessingException | CompletionException e) {
            throw new IllegalStateException(
                    call.method() + " " + call.uri() + " failed: " + e.getMessage(), e);
        }
    }
}
