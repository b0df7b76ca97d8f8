package org.sardinelift.ctl.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpCallException;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpResponseListener;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.objects.ObjectDialect;
import org.sardinelift.objects.ObjectStore;

/** HTTP client of one run of the program. Calls block until they are answered. */
public final class ApiClient implements AutoCloseable {
    private static final int FIRST_ERROR_STATUS = 400;
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

    private final EventLoopGroup group;
    private final HttpClient client;
    private final Duration timeout;

    private ApiClient(Duration timeout) {
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("sardinectl", true), NioIoHandler.newFactory());
        this.client = HttpClient.create(group, timeout, null);
        this.timeout = timeout;
    }

    /**
     * Creates a client.
     *
     * @param timeout longest time without data in a call
     * @return the client, without an open connection
     */
    public static ApiClient create(Duration timeout) {
        return new ApiClient(timeout);
    }

    /**
     * Returns a client of the platform's object API.
     *
     * @param address address of the platform
     * @return the client
     */
    public ObjectStore objectStore(Address address) {
        return HttpObjectStore.create(client, address.host(), address.port(), timeout);
    }

    /**
     * Returns a client of the store of gateways and workers.
     *
     * @param address address of the store
     * @param dialect formats requests and parses responses
     * @return the client
     */
    public ObjectStore objectStore(Address address, ObjectDialect dialect) {
        return HttpObjectStore.create(client, address.host(), address.port(), timeout, dialect);
    }

    /**
     * Makes a call and waits for the complete answer.
     *
     * @param address address of the server
     * @param method HTTP method in upper case
     * @param uri path and query
     * @param headers request headers
     * @param body request body, empty for none
     * @return the result
     */
    public CallResult call(
            Address address, String method, String uri, Map<String, String> headers, String body) {
        try {
            BufferedHttpResponse answer =
                    client.call(request(address, method, uri, headers, body)).join();
            return answer.status() < FIRST_ERROR_STATUS
                    ? new CallResult.Answered(answer.text())
                    : new CallResult.Refused(answer.status(), answer.text());
        } catch (CompletionException e) {
            return unanswered(e.getCause());
        }
    }

    /**
     * Makes a call and passes on the lines of its answer as they arrive.
     *
     * @param address address of the server
     * @param uri path and query of a POST
     * @param headers request headers
     * @param body request body
     * @param onLine receives each complete line
     * @return the result
     */
    public CallResult streamLines(
            Address address,
            String uri,
            Map<String, String> headers,
            String body,
            Consumer<String> onLine) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        client.send(request(address, "POST", uri, headers, body), new LineListener(onLine, result));
        return result.join();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private HttpCall request(
            Address address, String method, String uri, Map<String, String> headers, String body) {
        Map<String, String> all = new HashMap<>(headers);
        all.putIfAbsent("content-type", "application/json");
        HttpCall call =
                HttpCall.of(
                        address.host(),
                        address.port(),
                        method,
                        uri,
                        all,
                        body.getBytes(StandardCharsets.UTF_8),
                        timeout);
        return method.equals("GET") ? call.repeatable() : call;
    }

    private static CallResult unanswered(Throwable cause) {
        boolean mayHaveRun = !(cause instanceof HttpCallException failure) || failure.mayHaveRun();
        return new CallResult.Unanswered(String.valueOf(cause.getMessage()), mayHaveRun);
    }

    private static final class LineListener implements HttpResponseListener {
        private final Consumer<String> onLine;
        private final CompletableFuture<CallResult> result;
        private final StringBuilder refusal = new StringBuilder();
        private final java.io.ByteArrayOutputStream pending = new java.io.ByteArrayOutputStream();
        private int status;

        LineListener(Consumer<String> onLine, CompletableFuture<CallResult> result) {
            this.onLine = onLine;
            this.result = result;
        }

        @Override
        public void onHead(int code, List<Map.Entry<String, String>> headers) {
            status = code;
        }

        @Override
        public void onData(byte[] part) {
            for (byte next : part) {
                if (next == '\n') {
                    onLineEnd();
                } else {
                    pending.write(next);
                }
            }
        }

        @Override
        public void onEnd() {
            onLineEnd();
            result.complete(
                    status < FIRST_ERROR_STATUS
                            ? new CallResult.Answered("")
                            : new CallResult.Refused(status, refusal.toString()));
        }

        @Override
        public void onFailure(Throwable cause, boolean mayHaveRun) {
            result.complete(
                    new CallResult.Unanswered(String.valueOf(cause.getMessage()), mayHaveRun));
        }

        private void onLineEnd() {
            String line = pending.toString(StandardCharsets.UTF_8);
            pending.reset();
            if (status < FIRST_ERROR_STATUS) {
                onLine.accept(line);
            } else {
                refusal.append(line);
            }
        }
    }
}
