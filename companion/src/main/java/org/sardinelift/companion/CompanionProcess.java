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
import org.sardinelift.runtime.tls.TlsFiles;
import org.tinylog.Logger;

/** A running companion. */
public final class CompanionProcess implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final long DRAIN_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final String ROLE = "companion";

    private final CompanionSettings settings;
    private final String incarnation = UUID.randomUUID().toString();
    private final ControlThread control;
    private final ControlThread explaining = ControlThread.start("companion-explain");
    private final EventLoopGroup group;
    private final Telemetry telemetry;
    private final TargetHealth health;
    private final DecisionLog log;
    private final DecisionRecorder decisions;
    private final TargetClient target;
    private final TargetProbe probe;
    private final ModelTracker models;
    private final Optional<OrderGuard> orders;
    private final CallManager calls;
    private final EntryConnections entries;
    private final LoadReporter reporter;
    private final FrameServer peer;
    private final HttpServer operators;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();
    private volatile boolean leaving;
    private volatile boolean targetUp = true;

    private CompanionProcess(CompanionSettings settings) throws IOException {
        this.settings = settings;
        control = ControlThread.start("companion-control");
        group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        HttpClient client = HttpClient.create(group, settings.target().connectTimeout(), null);
        telemetry =
                Telemetry.start(
                        settings.instance(),
                        settings.traces().file(),
                        settings.traces().otlpEndpoint(),
                        settings.traces().sampleRatio());
        log = DecisionLog.of(settings.explainEntries());
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
                        this::onModels);
        orders = settings.platform().map(platform -> guard(client, platform));
        probe = new TargetProbe(control, client, settings.target(), this::onProbe);
        calls =
                new CallManager(
                        control,
                        target,
                        settings.calls(),
                        telemetry,
                        CallDecisionRecorder.of(decisions),
                        this::onBroken,
                        this::onLoadChange);
        entries = new EntryConnections(control, this::onFrame, calls::onDown, this::report);
        reporter = reporter();
        peer =
                FrameServer.start(
                        group,
                        settings.peer().host(),
                        settings.peer().port(),
                        tls(settings),
                        this::hello,
                        settings.timings(),
                        settings.limits(),
                        entries);
        operators =
                HttpServer.start(
                        group,
                        settings.operators().host(),
                        settings.operators().port(),
                        HttpLimits.defaults(),
                        null,
                        OperatorRoutes.of(this::notReady, () -> drainRequested.complete(null)));
        startControl();
    }

    private LoadReporter reporter() {
        ReportPacer pace =
                ReportPacer.of(
                        settings.reportInterval(), settings.reportRefresh(), System.nanoTime());
        return new LoadReporter(control, pace, this::load, this::tell);
    }

    private void tell(LoadReport load) {
        LoadMetrics.update(load);
        entries.broadcast(Frame.loadReport(load));
    }

    private void startControl() {
        control.execute(this::report);
        control.repeat(settings.target().probeInterval(), probe::ask);
        control.repeat(settings.modelsInterval(), models::ask);
        control.execute(calls::tick);
    }

    /**
     * Starts a companion.
     *
     * @param settings sound settings
     * @return the running companion
     * @throws IOException where an address is taken or the certificates can't be read
     */
    public static CompanionProcess start(CompanionSettings settings) throws IOException {
        Metrics.registerJvm();
        return new CompanionProcess(settings);
    }

    /**
     * The line on standard output that says the process is ready and what it bound.
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
     * The port that entries connect to.
     *
     * @return port number
     */
    public int peerPort() {
        return peer.port();
    }

    /**
     * Tells when an operator asks for a drain; the starter then calls {@link #drain} and ends the
     * process, as after SIGTERM.
     *
     * @return completes once a drain is asked for
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    private Optional<String> notReady() {
        if (leaving || drainRequested.isDone()) {
            return Optional.of("draining");
        }
        return targetUp
                ? Optional.empty()
                : Optional.of("target " + settings.target().name() + " does not answer");
    }

    /** Tells entries that the target is leaving, takes no new call and lets running ones finish. */
    public void drain() {
        leaving = true;
        CountDownLatch told = new CountDownLatch(1);
        control.execute(
                () -> {
                    note(DecisionAction.LEAVING, "this companion drains");
                    calls.close(GateRefusal.TARGET_LEAVING);
                    report();
                    told.countDown();
                });
        await(told);
        waitWhile(calls::hasActiveCalls, settings.drainTimeout());
        waitWhile(() -> calls.unacknowledgedCalls() > 0, settings.drainLinger());
    }

    private void note(DecisionAction action, String reason) {
        Map<String, String> figures =
                Map.of(
                        "target", settings.target().name(),
                        "running", String.valueOf(calls.running()));
        decisions.record(action, settings.instance(), reason, figures);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void waitWhile(BooleanSupplier condition, Duration longest) {
        long deadline = System.nanoTime() + longest.toNanos();
        while (condition.getAsBoolean() && System.nanoTime() - deadline < 0) {
            LockSupport.parkNanos(DRAIN_POLL_NANOS);
        }
    }

    @Override
    public void close() {
        peer.close();
        operators.close();
        control.close();
        explaining.close();
        telemetry.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
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
                : TlsFiles.open(settings.peerTls().get()).server();
    }

    private OrderGuard guard(HttpClient client, CompanionSettings.Address platform) {
        return new OrderGuard(
                HttpObjectStore.create(
                        client, platform.host(), platform.port(), settings.platformTimeout()),
                settings.target().name(),
                models,
                control::execute,
                settings.maxOrders(),
                settings.orderTries());
    }

    private void onFrame(FrameConnection connection, Frame frame) {
        if (frame.getSetField() == Frame._Fields.ORDER) {
            order(connection, frame.getOrder());
        } else if (frame.isSetExplainQuery()) {
            explaining.execute(() -> explain(connection, frame.getExplainQuery()));
        } else {
            calls.onFrame(connection, frame);
        }
    }

    private void explain(FrameConnection connection, ExplainQuery query) {
        connection.send(DecisionFrames.answer(query, settings.instance(), log));
    }

    private void order(FrameConnection connection, Order order) {
        if (orders.isEmpty()) {
            String detail = "this companion has no platform in its settings; set it";
            OrderResult refused =
                    new OrderResult(order.getExchange(), false, 0, detail).setPassedOn(false);
            connection.send(Frame.orderResult(refused));
            return;
        }
        orders.get().take(order, result -> connection.send(Frame.orderResult(result)));
    }

    private void onModels() {
        reporter.reportIfChanged();
    }

    private void onBroken() {
        health.onConnectionFailed();
        probe.ask();
    }

    private void onProbe(TargetProbe.Result result) {
        boolean changed = health.onProbe(result.answered(), calls.running());
        targetUp = health.isUp();
        if (changed) {
            Logger.warn(
                    "Target {} is {}; {}",
                    settings.target().name(),
                    health.isUp() ? "up" : "down",
                    health.isUp() ? "it takes calls" : "its calls are refused until it answers");
            note(
                    health.isUp() ? DecisionAction.LET_IN : DecisionAction.LEFT_OUT,
                    health.isUp() ? "the target answers" : "the target does not answer");
            target.incarnation(health.incarnation());
            if (!health.isUp()) {
                calls.close(GateRefusal.TARGET_DOWN);
            } else if (!leaving) {
                calls.open();
            }
            report();
        }
        result.load().ifPresent(calls::onTargetLoad);
        reporter.compare();
    }

    private void onLoadChange() {
        reporter.onChange();
    }

    private void report() {
        reporter.report();
    }

    private LoadReport load() {
        LoadedModels shown = models.availableModels();
        LoadReport report =
                new LoadReport()
                        .setTarget(settings.target().name())
                        .setTargetIncarnation(health.incarnation())
                        .setServiceName(settings.target().service())
                        .setZone(settings.zone())
                        .setModels(shown.models())
                        .setVersions(shown.versions())
                        .setRole(shown.role())
                        .setFence(orders.map(OrderGuard::highestFence).orElse(0L))
                        .setLeaving(leaving)
                        .setHealthy(health.isUp());
        calls.describe(report);
        return report;
    }
}
