package org.sardinelift.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpCallException;
import org.sardinelift.http.HttpClient;

/** Object store client over HTTP/1.1; a dialect formats its requests and parses its responses. */
public final class HttpObjectStore implements ObjectStore {
    private static final int OK = 200;
    private static final int GONE = 410;

    private final HttpClient client;
    private final String host;
    private final int port;
    private final Duration timeout;
    private final ObjectDialect dialect;

    private HttpObjectStore(
            HttpClient client, String host, int port, Duration timeout, ObjectDialect dialect) {
        this.client = client;
        this.host = host;
        this.port = port;
        this.timeout = timeout;
        this.dialect = dialect;
    }

    /**
     * Creates a client of the object API in docs/PLATFORM.md.
     *
     * @param client HTTP client to send with
     * @param host address of the platform
     * @param port port of the platform
     * @param timeout longest time without data before a call fails; a watch adds its wait
     * @return the client
     */
    public static HttpObjectStore create(
            HttpClient client, String host, int port, Duration timeout) {
        return create(client, host, port, timeout, new DefaultObjectDialect());
    }

    /**
     * Creates a client.
     *
     * @param client HTTP client to send with
     * @param host address of the store
     * @param port port of the store
     * @param timeout longest time without data before a call fails; a watch adds its wait
     * @param dialect formats requests and parses responses
     * @return the client
     */
    public static HttpObjectStore create(
            HttpClient client, String host, int port, Duration timeout, ObjectDialect dialect) {
        return new HttpObjectStore(client, host, port, timeout, dialect);
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return send(dialect.readRequest(key), timeout)
                .handle(
                        (answer, error) ->
                                answer == null
                                        ? new ReadResult.Unavailable(noResponseReason(error))
                                        : parse(
                                                answer,
                                                body -> dialect.parseReadResult(key, answer, body),
                                                ReadResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(
                    WriteResult.NotWritten.rejected(
                            "value of "
                                    + ObjectPath.of(key)
                                    + " is too large: "
                                    + bytes
                                    + " bytes; split it into values of at most "
                                    + MAX_VALUE_BYTES));
        }
        return update(dialect.writeRequest(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return update(dialect.deleteRequest(key, expectedVersion));
    }

    private CompletableFuture<WriteResult> update(ObjectDialect.Request request) {
        return send(request, timeout)
                .handle(
                        (answer, error) ->
                                answer == null
                                        ? noResponseResult(error)
                                        : parse(
                                                answer,
                                                body -> dialect.parseWriteResult(answer, body),
                                                WriteResult.Unclear::new));
    }

    private static WriteResult noResponseResult(Throwable error) {
        return mayHaveRun(error)
                ? new WriteResult.Unclear(noResponseReason(error))
                : new WriteResult.NotWritten(noResponseReason(error));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return listFrom(kind, namePrefix, "", null);
    }

    /** Reads the page that begins at {@code from} and all pages after it. */
    private CompletableFuture<ListResult> listFrom(
            String kind, String namePrefix, String from, ListResult.@Nullable Listed before) {
        return send(dialect.listRequest(kind, namePrefix, from), timeout)
                .handle((answer, error) -> page(kind, namePrefix, answer, error))
                .thenCompose(
                        page -> {
                            if (!(page instanceof PageResult.Read read)) {
                                String reason = ((PageResult.Failed) page).reason();
                                return completed(new ListResult.Unavailable(reason));
                            }
                            ListResult.Listed all = append(before, read.page().listed());
                            Optional<String> next = read.page().nextPageStart();
                            return next.isPresent()
                                    ? listFrom(kind, namePrefix, next.get(), all)
                                    : completed(all);
                        });
    }

    /** Outcome of reading one page. */
    private sealed interface PageResult {
        record Read(ObjectDialect.Page page) implements PageResult {}

        record Failed(String reason) implements PageResult {}
    }

    private PageResult page(
            String kind, String prefix, @Nullable BufferedHttpResponse answer, Throwable error) {
        return decode(
                answer,
                error,
                body -> new PageResult.Read(dialect.parsePage(kind, prefix, body)),
                PageResult.Failed::new);
    }

    /**
     * Appends a page. The list keeps the revision of its first page, so that a watch from there
     * reports what changed while the other pages were read.
     */
    private static ListResult.Listed append(
            ListResult.@Nullable Listed before, ListResult.Listed page) {
        if (before == null) {
            return page;
        }
        List<StoredObject> all = new ArrayList<>(before.objects());
        all.addAll(page.objects());
        return new ListResult.Listed(before.revision(), all);
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return send(dialect.watchRequest(kinds, afterRevision, wait), timeout.plus(wait))
                .handle(
                        (answer, error) ->
                                answer != null && answer.status() == GONE
                                        ? new WatchResult.Gap()
                                        : decode(
                                                answer,
                                                error,
                                                body -> dialect.parseChanges(kinds, body),
                                                WatchResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        Optional<ObjectDialect.Request> request = dialect.instancesRequest();
        if (request.isEmpty()) {
            return completed(
                    new InstancesResult.Unavailable("this store has no list of instances"));
        }
        return send(request.get(), timeout)
                .handle(
                        (answer, error) ->
                                decode(
                                        answer,
                                        error,
                                        dialect::parseInstances,
                                        InstancesResult.Unavailable::new));
    }

    private CompletableFuture<BufferedHttpResponse> send(
            ObjectDialect.Request request, Duration idleTimeout) {
        HttpCall call =
                HttpCall.of(
                        host,
                        port,
                        request.method(),
                        request.uri(),
                        request.body().length == 0
                                ? Map.of()
                                : Map.of("content-type", "application/json"),
                        request.body(),
                        idleTimeout);
        return client.call(request.method().equals("GET") ? call.repeatable() : call);
    }

    private static <T> T decode(
            @Nullable BufferedHttpResponse answer,
            Throwable error,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> unavailable) {
        if (answer == null) {
            return unavailable.apply(noResponseReason(error));
        }
        return answer.status() == OK
                ? parse(answer, decoder, unavailable)
                : unavailable.apply(ObjectDialect.refusalReason(answer));
    }

    private static <T> T parse(
            BufferedHttpResponse answer,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> malformed) {
        try {
            return decoder.apply(json(answer));
        } catch (IllegalArgumentException e) {
            return malformed.apply("malformed response from the platform: " + e.getMessage());
        } catch (IOException e) {
            return malformed.apply("unreadable response from the platform: " + e.getMessage());
        }
    }

    /** Parses the body; only success and conflict responses need one. */
    private static JsonNode json(BufferedHttpResponse answer) throws IOException {
        boolean isJson = answer.body().length > 0 && answer.body()[0] == '{';
        if (!isJson && answer.status() != OK) {
            return MissingNode.getInstance();
        }
        try {
            return ObjectJson.MAPPER.readTree(answer.body());
        } catch (JsonProcessingException e) {
            return ObjectJson.MAPPER.readTree(JsonBounds.apply(answer.text()));
        }
    }

    private static boolean mayHaveRun(Throwable error) {
        return !(rootCause(error) instanceof HttpCallException failure) || failure.mayHaveRun();
    }

    private static String noResponseReason(Throwable error) {
        return "no response from the platform: " + rootCause(error).getMessage();
    }

    private static Throwable rootCause(Throwable error) {
        return error instanceof java.util.concurrent.CompletionException && error.getCause() != null
                ? error.getCause()
                : error;
    }

    private static <T> CompletableFuture<T> completed(T result) {
        return CompletableFuture.completedFuture(result);
    }
}
