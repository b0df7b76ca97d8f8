package org.sardinelift.gateway;

import java.net.BindException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
import org.sardinelift.runtime.log.Event;

/** A running gateway: takes callers' requests and sends them to targets. */
public final class GatewayProcess implements AutoCloseable {
    /** A target answers a new connection within a few milliseconds, or is not there. */
    private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(250);

    /** The balancer sends no new connections after two misses, a second apart. */
    private static final Duration UNTIL_BALANCED = Duration.ofMillis(3_200);

    /** Left of the grace for the exit of the process. */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

    private static final long STEP_MS = 20;
    private static final int MAX_CONNECTIONS = 3_000;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final RequestLimits BOUNDS_BEFORE_PLAN =
            new RequestLimits(16 * 1024, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Clients may use a connection until the stated idle time; it closes somewhat later. */
    private static final Duration IDLE_SLACK = Duration.ofSeconds(1);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewaySettings settings;
    private final Node node;
    private final TargetTable table;
    private final HttpServer internal;
    private final HttpServer ready;
    private final HttpServer callers;
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();
    private volatile boolean stopping;

    private GatewayProcess(GatewaySettings settings, PlatformAdapter adapter) throws BindException {
        this.settings = settings;
        this.node = Node.create(settings.node(), PeerRole.GATEWAY, adapter);
        HttpClient targetClient =
                HttpClient.createPlaintext(
                        node.group(), TARGET_CONNECT_TIMEOUT, settings.connectionIdleTimeout());
        this.table =
                TargetTable.create(
                        node.network().targetLoads(),
                        targetClient,
                        node.loop(),
                        adapter.probePath(),
                        settings.typicalFirstEvent(),
                        settings.typicalCallTime());
        CallPipeline gate =
                CallPipeline.create(
                        settings,
                        adapter,
                        node.loop(),
                        targetClient,
                        node.client(),
                        table,
                        node.network(),
                        node.plans());
        this.internal = node.startInternalServer(table, Node::respondNotFound);
        this.ready = bind(settings.readinessAddress(), HttpLimits::defaults, this::answerReady);
        this.callers = bind(settings.callerAddress(), this::limits, gate.handler());
        node.start(
                new Node.Listener() {
                    @Override
                    public void onTargetsChanged(Map<String, RegisteredTarget> entries) {
                        table.update(entries);
                    }
                });
    }

    /**
     * Starts a gateway.
     *
     * @param settings its settings
     * @param adapter translates for the platform
     * @return the running gateway
     * @throws BindException where a port is taken; choose another in the settings
     */
    public static GatewayProcess start(GatewaySettings settings, PlatformAdapter adapter)
            throws BindException {
        return new GatewayProcess(settings, adapter);
    }

    private HttpServer bind(
            Endpoint address,
            java.util.function.Supplier<HttpLimits> limits,
            org.sardinelift.http.HttpHandler handler)
            throws BindException {
        return HttpServer.start(
                node.group(), address.host(), address.port(), limits, null, handler);
    }

    /** Bounds of callers' requests, as the configuration in force sets them. */
    private HttpLimits limits() {
        PlanFeed.CurrentPlan held = node.plans().current();
        RequestLimits bounds = held == null ? BOUNDS_BEFORE_PLAN : bounds(held.plan());
        return new HttpLimits(
                MAX_LINE_BYTES,
                bounds.maxHeaderBytes(),
                bounds.maxBodyBytes(),
                MAX_CONNECTIONS,
                bounds.headerTimeout(),
                bounds.idleTimeout().plus(IDLE_SLACK));
    }

    private static RequestLimits bounds(ServingPlan plan) {
        return plan.requestLimits();
    }

    private void answerReady(HttpExchange exchange) {
        boolean isReady = isReady();
        exchange.respond(isReady ? OK : UNAVAILABLE, Map.of(), new byte[0]);
    }

    private boolean isReady() {
        return !stopping
                && node.plans().current() != null
                && !node.targets().snapshot().objects().isEmpty();
    }

    /**
     * One line that says that the process runs and where it listens.
     *
     * @return machine-readable line
     */
    public String readyLine() {
        return "{\"event\":\"started\",\"role\":\"gateway\",\"instance\":\""
                + settings.node().instance()
                + "\",\"caller\":"
                + callers.port()
                + ",\"ready\":"
                + ready.port()
                + ",\"internal\":"
                + internal.port()
                + "}";
    }

    /**
     * Completes once an operator asks for a drain by other means than a signal.
     *
     * @return never completes by itself
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    /**
     * Stops in order: not ready at once, but still serving until the balancer sends no more; every
     * request that was read is answered. Returns when that is done or the grace is nearly over.
     */
    public void drain() {
        long startedAt = System.nanoTime();
        stopping = true;
        Event.of("process.stopping").with("answers_due", callers.answersDue()).info();
        node.loop().execute(node.network()::announceLeaving);
        callers.announceClose();
        long latest = startedAt + settings.node().gracePeriod().minus(EXIT_RESERVE).toNanos();
        sleepUntil(Math.min(latest, startedAt + UNTIL_BALANCED.toNanos()));
        callers.stopAccepting();
        callers.closeIdle();
        while (callers.answersDue() > 0 && System.nanoTime() - latest < 0) {
            sleep();
            callers.closeIdle();
        }
        Event.of("process.stopped")
                .with("answers_due", callers.answersDue())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))
                .info();
    }

    private static void sleepUntil(long time) {
        while (System.nanoTime() - time < 0) {
            sleep();
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        callers.close();
        ready.close();
        internal.close();
        node.close();
    }
}
