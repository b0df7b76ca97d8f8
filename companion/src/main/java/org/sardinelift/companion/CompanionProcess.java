package org.sardinelift.companion;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.companion.call.CallDecisionRecorder;
import org.sardinelift.companion.call.CallManager;
import org.sardinelift.companion.link.EntryConnections;
import org.sardinelift.companion.link.LoadReporter;
import org.sardinelift.companion.order.OrderGuard;
import org.sardinelift.companion.target.LoadedModels;
import org.sardinelift.companion.target.ModelTracker;
import org.sardinelift.companion.target.TargetClient;
import org.sardinelift.companion.target.TargetControlClient;
import org.sardinelift.companion.target.TargetHealth;
import org.sardinelift.companion.target.TargetProbe;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.gate.GateRefusal;
import org.sardinelift.core.gate.ReportPacer;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.protocol.DecisionFrames;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameServer;
import org.sardinelift.protocol.generated.ExplainQuery;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.Metrics;
import org.sardinelift.runtime.Telemetry;
import org.sardinelift.runtime.tls.MutualTls;
import org.tinylog.Logger;

/** A running companion. */
public final class CompanionProcess implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final long DRAIN_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final String ROLE = "companion";

    private final CompanionSettings settings;
    private final String incarnation = UUID.randomUUID().toString();
    private final ControlThread control;
    private final ControlThread explainThread = ControlThread.start("companion-explain");
    private final EventLoopGroup eventLoops;
    private final Telemetry telemetry;
    private final TargetHealth health;
    private final DecisionLog log;
    private final DecisionRecorder decisions;
    private final TargetClient target;
    private final TargetProbe probe;
    private final ModelTracker models;
    private final Optional<OrderGuard> orderGuard;
    private final CallManager calls;
    private final EntryConnections entries;
    private final LoadReporter reporter;
    private final FrameServer peer;
    private final HttpServer operators;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();
    private volatile boolean isLeaving;
    private volatile boolean isTargetUp = true;

    private CompanionProcess(CompanionSettings settings) throws IOException {
        this.settings = settings;
        control = ControlThread.start("companion-control");
        eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        HttpClient client = HttpClient.create(eventLoops, settings.target().connectTimeout(), null);
        telemetry =
                Telemetry.start(
                        settings.instance(),
                        settings.traces().file(),
                        settings.traces().otlpEndpoint(),
                        settings.traces().sampleRatio());
        log = DecisionLog.of(settings.maxDecisions());
        decisions = DecisionRecorder.of(log, System::currentTimeMillis);
        health =
                TargetHealth.create(
                        settings.target().probeFailureThreshold(),
                        () -> UUID.randomUUID().toString());
        target = new TargetClient(client, settings.target(), health.incarnation());
        models =
                new ModelTracker(
                        new TargetControlClient(client, settings.target()),
                        settings.target().models(),
                        control::execute,
                        this::onModelsChanged);
        orderGuard = settings.platform().map(platform -> createOrderGuard(client, platform));
        probe = new TargetProbe(control, client, settings.target(), this::onProbe);
        calls =
                new CallManager(
                        control,
                        target,
                        settings.calls(),
                        telemetry,
                        CallDecisionRecorder.of(decisions),
                        this::onConnectionFailed,
                        this::onCallsChanged);
        entries =
                new EntryConnections(control, this::onFrame, calls::onConnectionLost, this::report);
        reporter = createReporter();
        peer =
                FrameServer.start(
                        eventLoops,
                        settings.peer().host(),
                        settings.peer().port(),
                        tls(settings),
                        this::hello,
                        settings.timings(),
                        settings.limits(),
                        entries);
        operators =
                HttpServer.start(
                        eventLoops,
                        settings.operators().host(),
                        settings.operators().port(),
                        HttpLimits.defaults(),
                        null,
                        OperatorRoutes.of(
                                this::notReadyReason, () -> drainRequested.complete(null)));
        startControl();
    }

    private LoadReporter createReporter() {
        ReportPacer pacer =
                ReportPacer.of(
                        settings.reportInterval(), settings.reportRefresh(), System.nanoTime());
        return new LoadReporter(control, pacer, this::currentLoad, this::broadcast);
    }

    private void broadcast(LoadReport load) {
        LoadMetrics.update(load);
        entries.broadcast(Frame.loadReport(load));
    }

    private void startControl() {
        control.execute(this::report);
        control.scheduleRepeatedly(settings.target().probeInterval(), probe::probeNow);
        control.scheduleRepeatedly(settings.modelsPollInterval(), models::poll);
        control.execute(calls::tick);
    }

    /**
     * Starts a companion.
     *
     * @param settings valid settings
     * @return the running companion
     * @throws IOException if an address is in use or the certificates can't be read
     */
    public static CompanionProcess start(CompanionSettings settings) throws IOException {
        Metrics.registerJvm();
        return new CompanionProcess(settings);
    }

    /**
     * Line for standard output that says that the process is ready, with the ports that it bound.
     *
     * @return one line of JSON
     */
    public String readyLine() {
        return String.format(
                "{\"ready\":true,\"role\":\"%s\",\"instance\":\"%s\",\"target\":\"%s\","
                        + "\"operators\":\"%s:%d\",\"peer\":\"%s:%d\"}",
                ROLE,
                settings.instance(),
                settings.target().name(),
                settings.operators().host(),
                operators.port(),
                settings.peer().host(),
                peer.port());
    }

    /**
     * Port that entries connect to.
     *
     * @return port number
     */
    public int peerPort() {
        return peer.port();
    }

    /**
     * Completes when an operator requests a drain; the caller then calls {@link #drain} and ends
     * the process, as after SIGTERM.
     *
     * @return completes once a drain is requested
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    private Optional<String> notReadyReason() {
        if (isLeaving || drainRequested.isDone()) {
            return Optional.of("draining");
        }
        return isTargetUp
                ? Optional.empty()
                : Optional.of("target " + settings.target().name() + " does not answer");
    }

    /**
     * Announces to entries that the target leaves, refuses new calls and waits for running ones.
     */
    public void drain() {
        isLeaving = true;
        CountDownLatch announced = new CountDownLatch(1);
        control.execute(
                () -> {
                    recordDecision(DecisionAction.LEAVING, "this companion drains");
                    calls.refuseCalls(GateRefusal.TARGET_LEAVING);
                    report();
                    announced.countDown();
                });
        await(announced);
        waitWhile(calls::hasActiveCalls, settings.drainTimeout());
        waitWhile(() -> calls.unacknowledgedCalls() > 0, settings.drainLinger());
    }

    private void recordDecision(DecisionAction action, String reason) {
        Map<String, String> details =
                Map.of(
                        "target", settings.target().name(),
                        "running", String.valueOf(calls.runningCalls()));
        decisions.record(action, settings.instance(), reason, details);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void waitWhile(BooleanSupplier condition, Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        while (condition.getAsBoolean() && System.nanoTime() - deadline < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
    }

    @Override
    public void close() {
        peer.close();
        operators.close();
        control.close();
        explainThread.close();
        telemetry.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Hello hello() {
        return new Hello(
                settings.instance(),
                incarnation,
                ROLE,
                settings.zone(),
                Lane.CONTROL,
                FrameConnection.PROTOCOL_VERSION,
                0);
    }

    private static @Nullable Supplier<SslContext> tls(CompanionSettings settings)
            throws IOException {
        return settings.peerTls().isEmpty()
                ? null
                : MutualTls.open(settings.peerTls().get()).serverContexts();
    }

    private OrderGuard createOrderGuard(HttpClient client, CompanionSettings.Address platform) {
        return new OrderGuard(
                HttpObjectStore.create(
                        client, platform.host(), platform.port(), settings.platformTimeout()),
                settings.target().name(),
                models,
                control::execute,
                settings.maxWaitingOrders(),
                settings.orderTries());
    }

    private void onFrame(FrameConnection connection, Frame frame) {
        if (frame.getSetField() == Frame._Fields.ORDER) {
            onOrder(connection, frame.getOrder());
        } else if (frame.isSetExplainQuery()) {
            explainThread.execute(() -> onExplainQuery(connection, frame.getExplainQuery()));
        } else {
            calls.onFrame(connection, frame);
        }
    }

    private void onExplainQuery(FrameConnection connection, ExplainQuery query) {
        connection.send(DecisionFrames.toResultFrame(query, settings.instance(), log));
    }

    private void onOrder(FrameConnection connection, Order order) {
        if (orderGuard.isEmpty()) {
            String detail = "this companion can't execute orders; set platform in its settings";
            OrderResult refused =
                    new OrderResult(order.getExchange(), false, 0, detail).setPassedOn(false);
            connection.send(Frame.orderResult(refused));
            return;
        }
        orderGuard.get().submit(order, result -> connection.send(Frame.orderResult(result)));
    }

    private void onModelsChanged() {
        reporter.reportIfChanged();
    }

    private void onConnectionFailed() {
        health.onConnectionFailed();
        probe.probeNow();
    }

    private void onProbe(TargetProbe.Result result) {
        boolean changed = health.onProbe(result.isAnswered(), calls.runningCalls());
        isTargetUp = health.isUp();
        if (changed) {
            Logger.warn(
                    "Target {} is {}; {}",
                    settings.target().name(),
                    health.isUp() ? "up" : "down",
                    health.isUp()
                            ? "it accepts calls"
                            : "its calls are refused until it answers a probe");
            recordDecision(
                    health.isUp() ? DecisionAction.LET_IN : DecisionAction.LEFT_OUT,
                    health.isUp() ? "the target answers" : "the target does not answer");
            target.setIncarnation(health.incarnation());
            if (!health.isUp()) {
                calls.refuseCalls(GateRefusal.TARGET_DOWN);
            } else if (!isLeaving) {
                calls.acceptCalls();
            }
            report();
        }
        result.load().ifPresent(calls::onTargetLoad);
        reporter.scheduleIfChanged();
    }

    private void onCallsChanged() {
        reporter.onCallsChanged();
    }

    private void report() {
        reporter.reportNow();
    }

    private LoadReport currentLoad() {
        LoadedModels available = models.availableModels();
        LoadReport report =
                new LoadReport()
                        .setTarget(settings.target().name())
                        .setTargetIncarnation(health.incarnation())
                        .setServiceName(settings.target().service())
                        .setZone(settings.zone())
                        .setModels(available.models())
                        .setVersions(available.versions())
                        .setRole(available.role())
                        .setFence(orderGuard.map(OrderGuard::highestFence).orElse(0L))
                        .setLeaving(isLeaving)
                        .setHealthy(health.isUp());
        calls.fillLoadReport(report);
        return report;
    }
}
