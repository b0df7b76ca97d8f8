package org.sardinelift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The client's handling of peers that violate HTTP, reset, or respond early. */
class HttpClientTest {
    private static final String COMPLETE_RESPONSE =
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(5);

    /** Less than the bound of one response. */
    private static final int HELD_BYTES = 4 << 20;

    /** More than the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 16 << 20;

    private final List<String> requests = new CopyOnWriteArrayList<>();
    private MultiThreadIoEventLoopGroup group;
    private ServerSocket peer;

    @BeforeEach
    void open() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        peer = new ServerSocket(0);
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** Behaviour of the peer on one connection. */
    private interface Session {
        void serve(Socket socket, InputStream in) throws IOException, InterruptedException;
    }

    /** Serves one connection per session, in order, each in its own thread. */
    private void serve(Session... sessions) {
        start(
                () -> {
                    for (Session session : sessions) {
                        Socket socket = peer.accept();
                        start(
                                () -> {
                                    try (socket) {
                                        session.serve(socket, socket.getInputStream());
                                    }
                                });
                    }
                });
    }

    /** A task of the peer; its connection may be closed at any time. */
    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException expected) {
                                // The client or the end of the test closed the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        requests.add(head.toString());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private HttpClient client(Duration maxIdle) {
        return HttpClient.createPlaintext(group, Duration.ofSeconds(1), maxIdle);
    }

    private HttpCall call(
            boolean freshConnection, List<Map.Entry<String, String>> headers, byte[] body) {
        return new HttpCall(
                "127.0.0.1",
                peer.getLocalPort(),
                "POST",
                "/a",
                headers,
                body,
                SILENCE_TIMEOUT,
                freshConnection);
    }

    private HttpCall call() {
        return call(false, List.of(), new byte[0]);
    }

    @Test
    void sendsHeadersInOrderWithDuplicatesAndTheGivenHost() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    in.read();
                });
        List<Map.Entry<String, String>> headers =
                List.of(Map.entry("Host", "a.example"), Map.entry("X", "1"), Map.entry("X", "2"));

        client(SILENCE_TIMEOUT).call(call(false, headers, new byte[0])).join();

        assertTrue(
                requests.get(0).contains("Host: a.example\r\nX: 1\r\nX: 2\r\n"), requests.get(0));
    }

    @Test
    void completesAResponseWithoutLengthWhenItsConnectionEnds() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\nwhole");
                });

        assertEquals("whole", client(SILENCE_TIMEOUT).call(call()).join().text());
    }

    @Test
    void failsAResponseWithoutLengthWhoseConnectionIsReset() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
                    socket.setSoLinger(true, 0);
                });

        assertThrows(CompletionException.class, () -> client(SILENCE_TIMEOUT).call(call()).join());
    }

    /** A part of the body and the reset may arrive together, or the end of the output before it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 10, 60, 300})
    void anEarlyResponseWithoutLengthThatIsResetDuringTheUploadIsNotComplete(int delayMs) {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
                    Thread.sleep(delayMs);
                    write(socket, "half");
                    socket.setSoLinger(true, 0);
                },
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
                    socket.shutdownOutput();
                    Thread.sleep(delayMs);
                    socket.setSoLinger(true, 0);
                });
        HttpClient client = client(SILENCE_TIMEOUT);

        assertFailsAsUnclear(client.call(call(true, List.of(), new byte[UPLOAD_BYTES])));
        assertFailsAsUnclear(client.call(call(true, List.of(), new byte[UPLOAD_BYTES])));
    }

    @Test
    void anEarlyResponseWithoutLengthOnAConnectionInUseAgainIsNotComplete() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
                    Thread.sleep(10);
                    socket.setSoLinger(true, 0);
                });
        HttpClient client = client(SILENCE_TIMEOUT);
        assertEquals("ok", client.call(call()).join().text());

        assertFailsAsUnclear(client.call(call(false, List.of(), new byte[UPLOAD_BYTES])));
    }

    private static void assertFailsAsUnclear(CompletableFuture<BufferedHttpResponse> response) {
        CompletionException failure = assertThrows(CompletionException.class, response::join);
        assertTrue(
                failure.getCause() instanceof HttpCallException cause && cause.mayHaveRun(),
                failure.toString());
    }

    /** Each is below its own bound when they hold too much together. */
    @Test
    void responsesWithoutEndKeepWithinTheBoundOfTheProcess() throws Exception {
        Session endless =
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\n\r\n");
                    while (true) {
                        write(socket, "x".repeat(8_192));
                    }
                };
        Session sound =
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                };
        serve(endless, endless, endless, endless, endless, endless, sound);
        ResponseMemory memory = ResponseMemory.ofBytes(HELD_BYTES);
        HttpClient client =
                HttpClient.createPlaintext(group, Duration.ofSeconds(1), SILENCE_TIMEOUT, memory);

        List<CompletableFuture<BufferedHttpResponse>> responses =
                IntStream.range(0, 6)
                        .mapToObj(i -> client.call(call(true, List.of(), new byte[0])))
                        .toList();
        Awaitility.await().until(() -> requests.size() == responses.size());
        CompletableFuture<BufferedHttpResponse> small =
                client.call(call(true, List.of(), new byte[0]));

        assertEquals("ok", small.get(5, TimeUnit.SECONDS).text());
        long evicted =
                responses.stream().filter(each -> failureOf(each).contains("hold more")).count();
        assertTrue(evicted >= responses.size() - 1, evicted + " responses evicted");
        Awaitility.await().until(() -> memory.totalBytes() == 0);
    }

    private static String failureOf(CompletableFuture<BufferedHttpResponse> response) {
        return assertThrows(CompletionException.class, response::join).getCause().toString();
    }

    @Test
    void failsOnBytesThatAreNoResponse() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, "garbled bytes\r\n\r\n");
                    in.read();
                });

        assertThrows(CompletionException.class, () -> client(SILENCE_TIMEOUT).call(call()).join());
    }

    @Test
    void doesNotReuseAConnectionPastItsMaximumIdleTime() {
        Session respondOnce =
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    in.read();
                };
        serve(respondOnce, respondOnce);
        HttpClient client = client(Duration.ZERO);

        client.call(call()).join();

        assertEquals("ok", client.call(call()).join().text());
    }

    @Test
    void respectsTheIdleTimeoutThatThePeerStates() {
        Session respondOnce =
                (socket, in) -> {
                    readHead(in);
                    write(
                            socket,
                            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                                    + "content-length: 2\r\n\r\nok");
                    in.read();
                };
        serve(respondOnce, respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);

        client.call(call()).join();

        assertEquals("ok", client.call(call()).join().text());
    }

    @Test
    void opensANewConnectionIfTheCallRequiresOne() {
        Session respondOnce =
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    in.read();
                };
        serve(respondOnce, respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);

        client.call(call()).join();

        assertEquals("ok", client.call(call(true, List.of(), new byte[0])).join().text());
    }

    /** A peer may have dropped a connection that was idle for longer without notice. */
    @Test
    void reusesOnlyAConnectionIdleForLessThanTheCallAllows() throws InterruptedException {
        Session respondTwice =
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    in.read();
                };
        Session respondOnce =
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    in.read();
                };
        serve(respondTwice, respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);
        Duration maxIdle = Duration.ofMillis(300);
        assertFalse(client.hasIdleConnection("127.0.0.1", peer.getLocalPort(), maxIdle));

        client.call(call()).join();
        assertTrue(client.hasIdleConnection("127.0.0.1", peer.getLocalPort(), maxIdle));
        client.call(callOverConnectionIdleFor(maxIdle)).join();
        TimeUnit.MILLISECONDS.sleep(350);

        assertFalse(client.hasIdleConnection("127.0.0.1", peer.getLocalPort(), maxIdle));
        assertEquals("ok", client.call(callOverConnectionIdleFor(maxIdle)).join().text());
    }

    private HttpCall callOverConnectionIdleFor(Duration maxIdle) {
        return new HttpCall(
                "127.0.0.1",
                peer.getLocalPort(),
                "POST",
                "/a",
                List.of(),
                new byte[0],
                SILENCE_TIMEOUT,
                maxIdle,
                false);
    }

    /** A peer that writes a refusal once more would refuse the next call, which it runs. */
    @Test
    void aRepeatedRefusalIsNotTakenForTheAnswerOfTheNextCall() {
        String refusal = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, refusal);
                    readHead(in);
                    write(socket, refusal);
                    in.read();
                },
                this::respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);

        assertEquals(421, client.call(call()).join().status());
        assertEquals("ok", client.call(call()).join().text());
    }

    private HttpCall get() {
        return HttpCall.of(
                "127.0.0.1",
                peer.getLocalPort(),
                "GET",
                "/a",
                Map.of(),
                new byte[0],
                SILENCE_TIMEOUT);
    }

    /** Responds to one request, and closes the connection after it has read the next one. */
    private void losesSecondAnswer(Socket socket, InputStream in) throws IOException {
        readHead(in);
        write(socket, COMPLETE_RESPONSE);
        readHead(in);
    }

    private void respondOnce(Socket socket, InputStream in) throws IOException {
        readHead(in);
        write(socket, COMPLETE_RESPONSE);
        in.read();
    }

    /** The client sent each GET again by itself, though it may have run. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD", "POST"})
    void aCallWhoseAnswerIsLostIsNotSentAgainForItsMethod(String method) {
        serve(this::losesSecondAnswer, this::respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);
        client.call(call()).join();
        HttpCall call =
                HttpCall.of(
                        "127.0.0.1",
                        peer.getLocalPort(),
                        method,
                        "/a",
                        Map.of(),
                        new byte[0],
                        SILENCE_TIMEOUT);

        assertTrue(failure(client, call).mayHaveRun());
        assertEquals(2, requests.size());
    }

    private static HttpCallException failure(HttpClient client, HttpCall call) {
        CompletionException failed =
                assertThrows(CompletionException.class, () -> client.call(call).join());
        return assertInstanceOf(HttpCallException.class, failed.getCause());
    }

    @Test
    void aRepeatableCallIsSentAgainIfAnIdleConnectionIsLost() {
        serve(this::losesSecondAnswer, this::respondOnce);
        HttpClient client = client(SILENCE_TIMEOUT);
        client.call(call()).join();

        assertEquals("ok", client.call(get().repeatable()).join().text());
        assertEquals(3, requests.size());
    }

    /** The refused connection says nothing of the send before it. */
    @Test
    void aCallThatIsRefusedWhenSentAgainMayHaveRun() {
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    readHead(in);
                    peer.close();
                });
        HttpClient client = client(SILENCE_TIMEOUT);
        client.call(call()).join();

        assertTrue(failure(client, get().repeatable()).mayHaveRun());
    }

    /** The peer would read the next request as the rest of the body. */
    @Test
    void doesNotReuseAConnectionWhoseResponsePrecededTheEndOfTheBody() {
        Session respondEarly =
                (socket, in) -> {
                    socket.setReceiveBufferSize(1024);
                    readHead(in);
                    write(socket, COMPLETE_RESPONSE);
                    byte[] rest = new byte[1024];
                    while (in.read(rest) >= 0) {
                        // Drains the rest of the body.
                    }
                };
        Session second =
                (socket, in) -> {
                    readHead(in);
                    write(socket, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo");
                };
        serve(respondEarly, second);
        HttpClient client = client(SILENCE_TIMEOUT);

        client.call(call(false, List.of(), new byte[16 * 1024 * 1024])).join();

        assertEquals("two", client.call(call()).join().text());
    }

    /**
     * Bytes that are no response may come without end, in each place of a response. Guards against
     * a call that never ends, memory that grows with the bytes, and a connection that stays open.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status line|HTTP/1.1 200 |x",
                "header|HTTP/1.1 200 OK\\r\\na: |x",
                "headers|HTTP/1.1 200 OK\\r\\n|a: b\\r\\n",
                "interim responses||HTTP/1.1 102 Processing\\r\\n\\r\\n",
                "body|HTTP/1.1 200 OK\\r\\n\\r\\n|x",
                "chunks|HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n"
                        + "|1\\r\\nx\\r\\n",
                "chunk extension|HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n1;|x",
                "trailers|HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n"
                        + "0\\r\\n|a: b\\r\\n",
                "no response||x"
            })
    void aResponseWithoutEndFailsAndItsConnectionIsClosed(
            String where, String start, String repeated) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, unescape(start));
                    String part = unescape(repeated);
                    writeUntilClosed(socket, part.repeat(8_192 / part.length()), 0, closed);
                });

        assertThrows(
                CompletionException.class,
                () -> client(SILENCE_TIMEOUT).call(call(Duration.ofSeconds(1))).join());
        assertTrue(closed.await(5, TimeUnit.SECONDS), where);
    }

    /** The same, a few bytes at a time: each byte must not extend the time of the call. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 |x",
                "HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n1;|x",
                "HTTP/1.1 200 OK\\r\\n\\r\\n|x",
                "|HTTP/1.1 102 Processing\\r\\n\\r\\n"
            })
    void aResponseThatTricklesFailsInTime(String start, String repeated) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        serve(
                (socket, in) -> {
                    readHead(in);
                    write(socket, unescape(start));
                    writeUntilClosed(socket, unescape(repeated), 20, closed);
                });

        assertThrows(
                ExecutionException.class,
                () ->
                        client(SILENCE_TIMEOUT)
                                .call(call(Duration.ofMillis(200)))
                                .get(4, TimeUnit.SECONDS));
        assertTrue(closed.await(5, TimeUnit.SECONDS));
    }

    private HttpCall call(Duration silenceTimeout) {
        return HttpCall.of(
                "127.0.0.1",
                peer.getLocalPort(),
                "POST",
                "/a",
                Map.of(),
                new byte[0],
                silenceTimeout);
    }

    private static String unescape(String text) {
        return text == null ? "" : text.replace("\\r", "\r").replace("\\n", "\n");
    }

    private static void writeUntilClosed(
            Socket socket, String text, int pauseMs, CountDownLatch closed) {
        try {
            while (true) {
                write(socket, text);
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
        } catch (IOException | InterruptedException e) {
            closed.countDown();
        }
    }

    /**
     * Guards against an answer that is passed to the wrong call: bytes after a response, complete
     * or not, would be read as the response to the next request on the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"stray", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale"})
    void doesNotReuseAConnectionOnWhichBytesFollowedAResponse(String excess) throws Exception {
        for (int pauseMs : new int[] {0, 100}) {
            serve(
                    (socket, in) -> {
                        readHead(in);
                        write(socket, COMPLETE_RESPONSE + (pauseMs == 0 ? excess : ""));
                        if (pauseMs > 0) {
                            TimeUnit.MILLISECONDS.sleep(pauseMs);
                            write(socket, excess);
                        }
                        readHead(in);
                        write(socket, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong");
                    },
                    (socket, in) -> {
                        readHead(in);
                        write(socket, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo");
                        in.read();
                    });
            HttpClient client = client(SILENCE_TIMEOUT);

            assertEquals("ok", client.call(call()).join().text());
            TimeUnit.MILLISECONDS.sleep(2L * pauseMs);

            assertEquals("two", client.call(call()).join().text());
        }
    }
}
