package org.sardinelift.companion;

import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameLink;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Cancel;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.ExplainResult;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Query;
import org.sardinelift.protocol.generated.QueryAnswer;
import org.sardinelift.protocol.generated.Start;

/** One lane of an entry, controlled by the test. */
final class FakeEntry implements FrameListener, AutoCloseable {
    private static final ConnectionTimings TIMINGS =
            new ConnectionTimings(
                    Duration.ofMillis(100),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(10),
                    Duration.ofMillis(50));

    final List<Frame> frames = new CopyOnWriteArrayList<>();
    private FrameLink link;
    final AtomicInteger connections = new AtomicInteger();
    private volatile FrameConnection connection;

    static FakeEntry connect(EventLoopGroup group, String name, int port, Lane lane) {
        return connect(group, name, port, lane, TIMINGS);
    }

    static FakeEntry connect(
            EventLoopGroup group, String name, int port, Lane lane, ConnectionTimings timings) {
        FakeEntry entry = new FakeEntry();
        entry.link =
                FrameLink.open(
                        group,
                        "127.0.0.1",
                        port,
                        null,
                        () -> new Hello(name, "i1", "entry", "riga", lane, 1, 0),
                        timings,
                        entry);
        return entry;
    }

    boolean isConnected() {
        return connection != null;
    }

    void send(Frame frame) {
        connection.send(frame);
    }

    void start(Start start) {
        send(Frame.start(start));
    }

    void cancel(String requestId) {
        send(Frame.cancel(new Cancel(requestId, 1, "the caller went away")));
    }

    void query(String requestId, long offset) {
        send(Frame.query(new Query(requestId, 1, offset)));
    }

    /** Drops the connection; the link then opens a new one. */
    void dropConnection() {
        FrameConnection lost = connection;
        connection = null;
        lost.close("cut by the test");
    }

    static Start call(String requestId, Lane lane) {
        return new Start()
                .setRequestId(requestId)
                .setAttempt(1)
                .setTeam("dredgers")
                .setWeight(1)
                .setLane(lane)
                .setModel("tags")
                .setMethod("POST")
                .setPath("/v1/completions")
                .setHeaders(Map.of("content-type", "application/json"))
                .setBody("{}".getBytes(StandardCharsets.UTF_8))
                .setDeadlineMs(60_000)
                .setIdempotent(true)
                .setFingerprint("f-" + requestId)
                .setTraceparent("")
                .setPrefixKey("");
    }

    String bodyOf(String requestId) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        framesOf(Frame._Fields.DATA, Frame::getData)
                .filter(data -> data.getRequestId().equals(requestId))
                .map(Data::getBody)
                .forEach(body::writeBytes);
        return body.toString(StandardCharsets.UTF_8);
    }

    Optional<Finish> finishOf(String requestId) {
        return framesOf(Frame._Fields.FINISH, Frame::getFinish)
                .filter(finish -> finish.getRequestId().equals(requestId))
                .findFirst();
    }

    Optional<ExplainResult> explainResult() {
        return framesOf(Frame._Fields.EXPLAIN_RESULT, Frame::getExplainResult).findFirst();
    }

    Optional<QueryAnswer> queryAnswer(String requestId) {
        return framesOf(Frame._Fields.QUERY_ANSWER, Frame::getQueryAnswer)
                .filter(answer -> answer.getRequestId().equals(requestId))
                .reduce((first, last) -> last);
    }

    Optional<LoadReport> lastReport() {
        return framesOf(Frame._Fields.LOAD_REPORT, Frame::getLoadReport)
                .reduce((first, last) -> last);
    }

    <T> Stream<T> framesOf(Frame._Fields field, Function<Frame, T> value) {
        return frames.stream().filter(frame -> frame.getSetField() == field).map(value);
    }

    @Override
    public void onConnected(FrameConnection opened) {
        connection = opened;
        connections.incrementAndGet();
    }

    @Override
    public void onFrame(FrameConnection from, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onDisconnected(FrameConnection lost, String reason) {
        if (connection == lost) {
            connection = null;
        }
    }

    @Override
    public void close() {
        link.close();
    }
}
