package org.sardinelift.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.net.BindException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.FrameServer;
import org.sardinelift.protocol.generated.Cancel;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Head;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Query;
import org.sardinelift.protocol.generated.RunOutcome;
import org.sardinelift.protocol.generated.Start;

/**
 * A companion whose answers to frames are set by the test; by default it echoes each call's body.
 */
final class FakeCompanion implements FrameListener, AutoCloseable {
    final List<Start> starts = new CopyOnWriteArrayList<>();
    final List<Query> queries = new CopyOnWriteArrayList<>();
    final List<Cancel> cancels = new CopyOnWriteArrayList<>();
    private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, FrameConnection> byRequest = new ConcurrentHashMap<>();
    private final String name;
    private final String service;
    private final List<String> models;
    private final FrameServer server;
    private volatile String incarnation = "first";
    private volatile BiConsumer<FakeCompanion, Start> onStart = FakeCompanion::echo;
    private volatile BiConsumer<FakeCompanion, Query> onQuery = (companion, query) -> {};

    private FakeCompanion(
            EventLoopGroup group,
            String name,
            String service,
            List<String> models,
            @Nullable Supplier<SslContext> tls)
            throws BindException {
        this.name = name;
        this.service = service;
        this.models = models;
        this.server =
                FrameServer.start(
                        group,
                        "127.0.0.1",
                        0,
                        tls,
                        this::hello,
                        ConnectionTimings.defaults(),
                        this);
    }

    static FakeCompanion start(
            EventLoopGroup group,
            String name,
            String service,
            List<String> models,
            @Nullable Supplier<SslContext> tls)
            throws BindException {
        return new FakeCompanion(group, name, service, models, tls);
    }

    FakeCompanion onStart(BiConsumer<FakeCompanion, Start> action) {
        onStart = action;
        return this;
    }

    FakeCompanion onQuery(BiConsumer<FakeCompanion, Query> action) {
        onQuery = action;
        return this;
    }

    /** Closes all connections; with another incarnation the entry takes it for restarted. */
    void disconnectAll(String nextIncarnation) {
        incarnation = nextIncarnation;
        connections.forEach(connection -> connection.close("cut by the test"));
    }

    void echo(Start start) {
        sendHead(start, 200, "application/json");
        sendData(start, 0, new String(start.getBody(), StandardCharsets.UTF_8));
        sendFinish(start, start.getBody().length);
    }

    void sendHead(Start start, int status, String contentType) {
        send(
                start.getRequestId(),
                Frame.head(
                        new Head(
                                start.getRequestId(),
                                start.getAttempt(),
                                status,
                                Map.of("content-type", contentType))));
    }

    void sendData(Start start, long offset, String part) {
        ByteBuffer body = ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8));
        send(
                start.getRequestId(),
                Frame.data(new Data(start.getRequestId(), start.getAttempt(), offset, body)));
    }

    void sendFinish(Start start, long length) {
        sendFinish(start, length, RunOutcome.RUN, FailureKind.NONE);
    }

    void failByTargetDeath(Start start, String targetIncarnation) {
        sendFinish(start, 0, RunOutcome.UNKNOWN, FailureKind.TARGET_DIED, targetIncarnation);
    }

    void sendFinish(Start start, long length, RunOutcome outcome, FailureKind failure) {
        sendFinish(start, length, outcome, failure, "t1");
    }

    private void sendFinish(
            Start start,
            long length,
            RunOutcome outcome,
            FailureKind failure,
            String targetIncarnation) {
        send(
                start.getRequestId(),
                Frame.finish(
                        new Finish(
                                start.getRequestId(),
                                start.getAttempt(),
                                length,
                                outcome,
                                failure,
                                failure.name(),
                                0,
                                targetIncarnation)));
    }

    void send(String requestId, Frame frame) {
        FrameConnection connection = byRequest.get(requestId);
        if (connection != null) {
            connection.send(frame);
        }
    }

    void sendReport(boolean isLeaving) {
        sendReport(isLeaving, true);
    }

    void sendReport(boolean isLeaving, boolean isHealthy) {
        connections.stream()
                .filter(connection -> connection.peer().getLane() == Lane.CONTROL)
                .forEach(
                        connection ->
                                connection.send(
                                        Frame.loadReport(loadReport(isLeaving, isHealthy))));
    }

    InstancesResult.Instance instance() {
        return new InstancesResult.Instance(
                name, "companion", "z1", "127.0.0.1", server.port(), name + "-target", false);
    }

    @Override
    public void onConnected(FrameConnection connection) {
        connections.add(connection);
        if (connection.peer().getLane() == Lane.CONTROL) {
            connection.send(Frame.loadReport(loadReport(false, true)));
        }
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        if (frame.isSetStart()) {
            byRequest.put(frame.getStart().getRequestId(), connection);
            starts.add(frame.getStart());
            onStart.accept(this, frame.getStart());
        } else if (frame.isSetQuery()) {
            byRequest.put(frame.getQuery().getRequestId(), connection);
            queries.add(frame.getQuery());
            onQuery.accept(this, frame.getQuery());
        } else if (frame.isSetCancel()) {
            cancels.add(frame.getCancel());
        }
    }

    @Override
    public void onDisconnected(FrameConnection connection, String reason) {
        connections.remove(connection);
    }

    @Override
    public void close() {
        server.close();
    }

    private Hello hello() {
        return new Hello(name, incarnation, "companion", "z1", Lane.CONTROL, 1, 0);
    }

    private LoadReport loadReport(boolean isLeaving, boolean isHealthy) {
        return new LoadReport(
                name + "-target",
                "t1",
                service,
                "z1",
                8,
                0,
                0,
                0,
                8,
                models,
                isLeaving,
                isHealthy,
                0);
    }
}
