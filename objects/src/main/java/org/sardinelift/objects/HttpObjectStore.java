package org.sardinelift.objects;

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
import org.sardinelift.http.HttpAnswer;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpFailure;

/** Client of a store of objects over HTTP/1.1; a dialect says how the store spells its calls. */
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
     * Makes a client of the object API of docs/PLATFORM.md.
     *
     * @param client HTTP client to send with
     * @param host address of the platform
     * @param port port of the platform
     * @param timeout longest silence before a call is given up; a watch adds its own wait
     * @return the client
     */
    public static HttpObjectStore create(
            HttpClient client, String host, int port, Duration timeout) {
        return create(client, host, port, timeout, new DefaultObjectDialect());
    }

    /**
     * Makes a client.
     *
     * @param client HTTP client to send with
     * @param host address of the store
     * @param port port of the store
     * @param timeout longest silence before a call is given up; a watch adds its own wait
     * @param dialect how the store spells its calls
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
                                        ? new ReadResult.Unavailable(reason(error))
                                        : parsed(
                                                answer,
                                                body -> dialect.parseReadResult(key, answer, body),
                                                ReadResult.Unavailable::new));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        int bytes = value.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(
                    new WriteResult.NotWritten(
                            "the value of "
                                    + ObjectPath.of(key)
                                    + " has "
                                    + bytes
                                    + " bytes; split it to at most "
                                    + MAX_VALUE_BYTES));
        }
        return change(dialect.writeRequest(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return change(dialect.deleteRequest(key, expectedVersion));
    }

    private CompletableFuture<WriteResult> change(ObjectDialect.Request request) {
        return send(request, timeout)
                .handle(
                        (answer, error) ->
                                answer == null
                                        ? unanswered(error)
                                        : parsed(
                                                answer,
                                                body -> dialect.parseWriteResult(answer, body),
                                                WriteResult.Unclear::new));
    }

    private static WriteResult unanswered(Throwable error) {
        return mayHaveRun(error)
                ? new WriteResult.Unclear(reason(error))
                : new WriteResult.NotWritten(reason(error));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return pages(kind, namePrefix, "", null);
    }

    /** Reads the page that begins at a place, and those after it. */
    private CompletableFuture<ListResult> pages(
            String kind, String namePrefix, String from, ListResult.@Nullable Listed before) {
        return send(dialect.listRequest(kind, namePrefix, from), timeout)
                .handle((answer, error) -> page(kind, namePrefix, answer, error))
                .thenCompose(
                        page -> {
                            if (!(page instanceof PageResult.Read read)) {
                                String reason = ((PageResult.Failed) page).reason();
                                return done(new ListResult.Unavailable(reason));
                            }
                            ListResult.Listed all = joined(before, read.page().listed());
                            Optional<String> next = read.page().nextPageStart();
                            return next.isPresent()
                                    ? pages(kind, namePrefix, next.get(), all)
                                    : done(all);
                        });
    }

    /** One page, or why there is none. */
    private sealed interface PageResult {
        record Read(ObjectDialect.Page page) implements PageResult {}

        record Failed(String reason) implements PageResult {}
    }

    private PageResult page(
            String kind, String prefix, @Nullable HttpAnswer answer, Throwable error) {
        return decode(
                answer,
                error,
                body -> new PageResult.Read(dialect.parsePage(kind, prefix, body)),
                PageResult.Failed::new);
    }

    /** What changes between two pages is seen by a watch from the revision of the first. */
    private static ListResult.Listed joined(
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
            return done(new InstancesResult.Unavailable("this store has no list of instances"));
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

    private CompletableFuture<HttpAnswer> send(ObjectDialect.Request request, Duration silence) {
        return client.call(
                HttpCall.of(
                        host,
                        port,
                        request.method(),
                        request.uri(),
                        request.body().length == 0
                                ? Map.of()
                                : Map.of("content-type", "application/json"),
                        request.body(),
                        silence));
    }

    private static <T> T decode(
            @Nullable HttpAnswer answer,
            Throwable error,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> unavailable) {
        if (answer == null) {
            return unavailable.apply(reason(error));
        }
        return answer.status() == OK
                ? parsed(answer, decoder, unavailable)
                : unavailable.apply(ObjectDialect.refusalReason(answer));
    }

    private static <T> T parsed(
            HttpAnswer answer,
            Function<JsonNode, ? extends T> decoder,
            Function<String, ? extends T> malformed) {
        try {
            return decoder.apply(json(answer));
        } catch (IllegalArgumentException e) {
            return malformed.apply("the platform's answer is malformed: " + e.getMessage());
        } catch (IOException e) {
            return malformed.apply("the platform's answer can't be read: " + e.getMessage());
        }
    }

    /** Only answers of success and conflicts need to have a body. */
    private static JsonNode json(HttpAnswer answer) throws IOException {
        boolean isJson = answer.body().length > 0 && answer.body()[0] == '{';
        return isJson || answer.status() == OK
                ? ObjectJson.MAPPER.readTree(answer.body())
                : MissingNode.getInstance();
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

    private static <T> CompletableFuture<T> done(T result) {
        return CompletableFuture.completedFuture(result);
    }
}
