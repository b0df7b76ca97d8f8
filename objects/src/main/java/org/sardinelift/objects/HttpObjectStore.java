package org.sardinelift.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpFailure;

/** Client of the platform's object API over HTTP/1.1; see docs/PLATFORM.md. */
public final class HttpObjectStore implements ObjectStore {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final String APPLIED_HEADER = "Applied";
    private static final byte[] NO_BODY = {};

    private final HttpClient client;
    private final String host;
    private final int port;
    private final Duration timeout;

    private HttpObjectStore(HttpClient client, String host, int port, Duration timeout) {
        this.client = client;
        this.host = host;
        this.port = port;
        this.timeout = timeout;
    }

    /**
     * Makes a client.
     *
     * @param client HTTP client to send with
     * @param host address of the platform
     * @param port port of the platform
     * @param timeout longest silence before a call is given up; a watch adds its own wait
     * @return the client
     */
    public static HttpObjectStore create(
            HttpClient client, String host, int port, Duration timeout) {
        return new HttpObjectStore(client, host, port, timeout);
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return send("GET", ObjectPath.of(key), NO_BODY, timeout)
                .handle((answer, error) -> readResult(key, answer, error));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        byte[] body = value.getBytes(StandardCharsets.UTF_8);
        if (body.length > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(
                    new WriteResult.NotWritten(
                            "the value of "
                                    + ObjectPath.of(key)
                                    + " has "
                                    + body.length
                                    + " bytes; split it to at most "
                                    + MAX_VALUE_BYTES));
        }
        return change("PUT", key, expectedVersion, body);
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return change("DELETE", key, expectedVersion, NO_BODY);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        String uri =
                "/objects/" + ObjectPath.encode(kind) + "?prefix=" + ObjectPath.encode(namePrefix);
        return send("GET", uri, NO_BODY, timeout)
                .handle(
                        (answer, error) ->
                                decode(
                                        answer,
                                        error,
                                        ObjectJson::listed,
                                        ListResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        String names =
                kinds.stream().sorted().map(ObjectPath::encode).collect(Collectors.joining(","));
        String uri =
                "/watch?kinds=" + names + "&after=" + afterRevision + "&waitMs=" + wait.toMillis();
        return send("GET", uri, NO_BODY, timeout.plus(wait))
                .handle(
                        (answer, error) ->
                                answer != null && answer.status() == GONE
                                        ? new WatchResult.Gap()
                                        : decode(
                                                answer,
                                                error,
                                                ObjectJson::changes,
                                                WatchResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return send("GET", "/instances", NO_BODY, timeout)
                .handle(
                        (answer, error) ->
                                decode(
                                        answer,
                                        error,
                                        ObjectJson::instances,
                                        InstancesResult.Unavailable::new));
    }

    private CompletableFuture<HttpAnswer> send(
            String method, String uri, byte[] body, Duration silence) {
        return client.call(new HttpCall(host, port, method, uri, Map.of(), body, silence));
    }

    private CompletableFuture<WriteResult> change(
            String method, ObjectKey key, long expectedVersion, byte[] body) {
        String uri = ObjectPath.of(key) + "?ifVersion=" + expectedVersion;
        return send(method, uri, body, timeout).handle(HttpObjectStore::writeResult);
    }

    private static ReadResult readResult(ObjectKey key, HttpAnswer answer, Throwable error) {
        if (answer != null && answer.status() == NOT_FOUND) {
            return absent(key, answer);
        }
        return decode(answer, error, ObjectJson::found, ReadResult.Unavailable::new);
    }

    private static ReadResult absent(ObjectKey key, HttpAnswer answer) {
        String revision = answer.header("Revision");
        try {
            return new ReadResult.Absent(Long.parseLong(String.valueOf(revision)));
        } catch (NumberFormatException e) {
            return new ReadResult.Unavailable(
                    "404 for " + ObjectPath.of(key) + " without a Revision header");
        }
    }

    private static WriteResult writeResult(HttpAnswer answer, Throwable error) {
        if (answer == null) {
            return mayHaveRun(error)
                    ? new WriteResult.Unclear(reason(error))
                    : new WriteResult.NotWritten(reason(error));
        }
        if (answer.status() == OK) {
            return parsed(answer, ObjectJson::written, WriteResult.Unclear::new);
        }
        if (answer.status() == CONFLICT) {
            return parsed(answer, ObjectJson::conflict, WriteResult.NotWritten::new);
        }
        boolean notApplied =
                "no".equalsIgnoreCase(answer.header(APPLIED_HEADER))
                        || answer.status() == TOO_MANY_REQUESTS
                        || answer.status() < FIRST_SERVER_ERROR;
        return notApplied
                ? new WriteResult.NotWritten(refusal(answer))
                : new WriteResult.Unclear(refusal(answer));
    }

    private static <T> T decode(
            HttpAnswer answer,
            Throwable error,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> unavailable) {
        if (answer == null) {
            return unavailable.apply(reason(error));
        }
        return answer.status() == OK
                ? parsed(answer, decoder, unavailable)
                : unavailable.apply(refusal(answer));
    }

    private static <T> T parsed(
            HttpAnswer answer,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> malformed) {
        try {
            return decoder.apply(ObjectJson.MAPPER.readTree(answer.body()));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return malformed.apply("the platform's answer is malformed: " + e.getMessage());
        } catch (java.io.IOException e) {
            return malformed.apply("the platform's answer can't be read: " + e.getMessage());
        }
    }

    private static String refusal(HttpAnswer answer) {
        String retryAfter = answer.header("Retry-After");
        return "the platform answered "
                + answer.status()
                + (retryAfter == null ? "" : ", retry after " + retryAfter + " s");
    }

    private static boolean mayHaveRun(Throwable error) {
        return !(root(error) instanceof HttpFailure failure) || failure.mayHaveRun();
    }

    private static String reason(Throwable error) {
        return "the platform gave no answer: " + root(error).getMessage();
    }

    private static Throwable root(Throwable error) {
        return error instanceof java.util.concurrent.CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }
}
