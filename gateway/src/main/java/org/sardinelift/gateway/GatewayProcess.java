package org.sardinelift.gateway;

import java.net.BindException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.admission.ShutdownWindow;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.RequestLimits;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.call.CallPipeline;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.runtime.log.LogEvent;

/** A running gateway: receives callers' requests and forwards them to targets. */
public final class GatewayProcess implements AutoCloseable {
    /** A target accepts a new connection within a few milliseconds, or is not there. */
    private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** The load balancer opens no new connections after two failed checks, a second apart. */
    private static final Duration BALANCER_REMOVAL_TIME = Duration.ofMillis(3_200);

    /** Part of the grace period reserved for the exit of the process. */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

    private static final long POLL_INTERVAL_MS = 20;
    private static final int MAX_CONNECTIONS = 3_000;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final RequestLimits LIMITS_BEFORE_PLAN =
            new RequestLimits(16 * 1024, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Clients may use a connection until the configured idle time; it closes somewhat later. */
    private static final Duration IDLE_SLACK = Duration.ofSeconds(1);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewaySettings settings;
    private final Node node;
    private final TargetTable targetTable;
    private final HttpServer internalServer;
    private final HttpServer readinessServer;
    private final HttpServer callerServer;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();
    private volatile ShutdownWindow shutdown = ShutdownWindow.running();
    private volatile boolean isStopping;

    private GatewayProcess(GatewaySettings settings, PlatformAdapter adapter) throws BindException {
        this.settings = settings;
        this.node = Node.create(settings.node(), PeerRole.GATEWAY, adapter);
        HttpClient targetClient =
                HttpClient.createPlaintext(
                        node.group(), TARGET_CONNECT_TIMEOUT, settings.connectionIdleTimeout());
        this.targetTable =
                TargetTable.create(
                        node.network().targetLoads(),
                        node.network().rateLimits().limits(),
                        targetClient,
                        node.loop(),
                        adapter.probePath(),
                        adapter::startedAtMs,
                        settings.typicalFirstEvent(),
                        settings.typicalCallTime());
        targetTable.setAnswerListener(node.network().rateLimits().cold()::onAnswerChanged);
        CallPipeline pipeline =
                CallPipeline.create(
                        settings,
                        adapter,
                        node.loop(),
                        targetClient,
                        node.client(),
                        targetTable,
                        node.network(),
                        node.plans(),
                        () -> shutdown);
        this.internalServer = node.startInternalServer(targetTable, Node::respondNotFound);
        this.readinessServer =
                startServer(
                        settings.readinessAddress(), HttpLimits::defaults, this::respondReadiness);
        this.callerServer =
                startServer(settings.callerAddress(), this::httpLimits, pipeline.handler());
        node.start(
                new Node.Listener() {
                    @Override
                    public void onTargetsChanged(Map<String, RegisteredTarget> entries) {
                        targetTable.update(entries);
                    }
                });
    }

    /**
     * Starts a gateway.
     *
     * @param settings its settings
     * @param adapter adapter of the platform
     * @return the running gateway
     * @throws BindException if a port is in use; choose another in the settings
     */
    public static GatewayProcess start(GatewaySettings settings, PlatformAdapter adapter)
            throws BindException {
        return new GatewayProcess(settings, adapter);
    }

    private HttpServer startServer(
            Endpoint address,
            java.util.function.Supplier<HttpLimits> limits,
            org.sardinelift.http.HttpHandler handler)
            throws BindException {
        return HttpServer.start(
                node.group(), address.host(), address.port(), limits, null, handler);
    }

    /** Limits on callers' requests, from the configuration in force. */
    private HttpLimits httpLimits() {
        PlanFeed.CurrentPlan currentPlan = node.plans().current();
        RequestLimits requestLimits =
                currentPlan == null ? LIMITS_BEFORE_PLAN : requestLimits(currentPlan.plan());
        return new HttpLimits(
                MAX_LINE_BYTES,
                requestLimits.maxHeaderBytes(),
                requestLimits.maxBodyBytes(),
                MAX_CONNECTIONS,
                requestLimits.headerTimeout(),
                requestLimits.idleTimeout().plus(IDLE_SLACK));
    }

    private static RequestLimits requestLimits(ServingPlan plan) {
        return plan.requestLimits();
    }

    private void respondReadiness(HttpExchange exchange) {
        boolean isReady = isReady();
        exchange.respond(isReady ? OK : UNAVAILABLE, Map.of(), new byte[0]);
    }

    /** Must be called on the event loop, like the admission of calls. */
    private boolean isReady() {
        return !isStopping
                && node.plans().current() != null
                && !targetTable.all().isEmpty()
                && node.network().streams().recorded().allowsSomeVersion(System.nanoTime());
    }

    /**
     * Line that reports that the process is running and on which ports it listens.
     *
     * @return machine-readable line
     */
    public String readyLine() {
        return "{\"event\":\"started\",\"role\":\"gateway\",\"instance\":\""
                + settings.node().instance()
                + "\",\"caller\":"
                + callerServer.port()
                + ",\"ready\":"
                + readinessServer.port()
                + ",\"internal\":"
                + internalServer.port()
                + "}";
    }

    /**
     * Completes when an operator requests a drain other than by a signal.
     *
     * @return a future that this role never completes
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    /**
     * Drains the gateway: readiness fails at once, but until the load balancer sends no more, calls
     * that end before the exit are served. From the moment on at which the longest call of the
     * configuration would not, idle connections are closed, and busy ones when their response is
     * complete. Returns when all are closed or the grace period is nearly over.
     */
    public void drain() {
        long startedAt = System.nanoTime();
        ShutdownWindow window =
                ShutdownWindow.stopping(startedAt, settings.node().gracePeriod(), EXIT_RESERVE);
        shutdown = window;
        isStopping = true;
        LogEvent.of("process.stopping").with("answers_due", callerServer.pendingResponses()).info();
        node.loop().execute(node.network()::announceLeaving);
        callerServer.announceClose();
        long acceptUntil = startedAt + BALANCER_REMOVAL_TIME.toNanos();
        sleepUntil(earlier(acceptUntil, window.lastStart(longestTimeLimit())));
        callerServer.closeConnectionsWhenIdle();
        sleepUntil(earlier(acceptUntil, window.exitAt()));
        callerServer.stopAccepting();
        callerServer.closeConnectionsWhenIdle();
        while (callerServer.connectionCount() > 0 && System.nanoTime() - window.exitAt() < 0) {
            sleep();
        }
        LogEvent.of("process.stopped")
                .with("answers_due", callerServer.pendingResponses())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))
                .info();
    }

    /** Longest time that the configuration in force allows for a call. */
    private Duration longestTimeLimit() {
        PlanFeed.CurrentPlan currentPlan = node.plans().current();
        return currentPlan == null ? Duration.ZERO : currentPlan.plan().longestTimeout();
    }

    private static long earlier(long one, long other) {
        return one - other < 0 ? one : other;
    }

    private static void sleepUntil(long time) {
        while (System.nanoTime() - time < 0) {
            sleep();
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        callerServer.close();
        readinessServer.close();
        internalServer.close();
        node.close();
    }
}
