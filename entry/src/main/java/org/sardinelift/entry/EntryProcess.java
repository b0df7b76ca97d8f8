package org.sardinelift.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.objects.MeteredObjectStore;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.RateLimitedObjectStore;
import org.sardinelift.protocol.FrameServer;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.Metrics;
import org.sardinelift.runtime.tls.MutualTls;
import org.tinylog.Logger;

/** A process of the entry role, which accepts callers' requests and sends them to companions. */
public final class EntryProcess implements AutoCloseable {
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    private final EntrySettings settings;
    private final EventLoopGroup group;
    private final EntryServices services;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final CompletableFuture<Void> drainRequested = new CompletableFuture<>();
    private final FrameServer peerServer;
    private final HttpServer callerServer;
    private final HttpServer operatorServer;

    private EntryProcess(
            EntrySettings settings,
            EventLoopGroup group,
            ObjectStore store,
            Certificates certificates)
            throws BindException {
        this.settings = settings;
        this.group = group;
        services =
                new EntryServices(
                        settings, group, MeteredObjectStore.wrap(store), certificates.links());
        peerServer =
                FrameServer.start(
                        group,
                        settings.peer().host(),
                        settings.peer().port(),
                        certificates.peer(),
                        () -> services.createHello(Lane.CONTROL),
                        settings.links(),
                        services.peers().inboundListener());
        operatorServer =
                bind(
                        settings.operators(),
                        HttpLimits.defaults(),
                        null,
                        services.createOperatorRoutes(this::requestDrain));
        callerServer =
                bind(
                        settings.caller(),
                        settings.requests().httpLimits(),
                        certificates.caller(),
                        services.createCallerRoutes());
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @return the running entry
     * @throws IOException if an address is in use or the certificates can't be read
     */
    public static EntryProcess start(EntrySettings settings) throws IOException {
        return start(settings, group -> createPlatformClient(settings, group));
    }

    /**
     * Starts an entry with a given platform client.
     *
     * @param settings its settings
     * @param clientFactory creates the platform client on the entry's event loops
     * @return the running entry
     * @throws IOException if an address is in use or the certificates can't be read
     */
    public static EntryProcess start(
            EntrySettings settings, Function<EventLoopGroup, ObjectStore> clientFactory)
            throws IOException {
        Certificates certificates = Certificates.open(settings);
        Metrics.registerJvm();
        EventLoopGroup group = new NioEventLoopGroup(settings.eventLoops());
        EntryProcess entry =
                new EntryProcess(settings, group, clientFactory.apply(group), certificates);
        entry.services.start();
        return entry;
    }

    private static ObjectStore createPlatformClient(EntrySettings settings, EventLoopGroup group) {
        HttpClient client = HttpClient.create(group, settings.platformTimeout(), null);
        ObjectStore store =
                HttpObjectStore.create(
                        client,
                        settings.platform().host(),
                        settings.platform().port(),
                        settings.platformTimeout());
        return RateLimitedObjectStore.wrap(store, settings.platformBudget(), group);
    }

    /**
     * Returns the line by which the parent process learns that this one is ready.
     *
     * @return one JSON object on one line
     */
    public String readyLine() {
        return String.format(
                "{\"ready\":true,\"role\":\"%s\",\"instance\":\"%s\",\"caller\":\"%s\","
                        + "\"operators\":\"%s\",\"peer\":\"%s\"}",
                EntryServices.ROLE,
                settings.instance(),
                settings.caller().formatWithPort(callerServer.port()),
                settings.operators().formatWithPort(operatorServer.port()),
                settings.peer().formatWithPort(peerServer.port()));
    }

    /**
     * Reports this entry as not ready, refuses new work after the drain delay, releases this
     * entry's share of the limits, and waits for running calls to end.
     *
     * @return completes when the share is released, or can't be, and no call is in flight or the
     *     drain timeout has passed
     */
    public CompletableFuture<Void> drain() {
        services.control().execute(this::startDrain);
        return drained;
    }

    /**
     * Completes when an operator requests a drain. Whoever started the entry then ends the process
     * once it is drained, as after SIGTERM.
     *
     * @return completes once a drain is requested
     */
    public CompletableFuture<Void> drainRequested() {
        return drainRequested;
    }

    private void requestDrain() {
        drain();
        drainRequested.complete(null);
    }

    private void startDrain() {
        if (services.readiness().isDraining()) {
            return;
        }
        services.readiness().announceDrain();
        Logger.info(
                "Draining: reported not ready to the load balancer; refusing new work after {}",
                settings.drainDelay());
        CompletableFuture<Void> batchDrained = new CompletableFuture<>();
        services.batch().drain(() -> batchDrained.complete(null));
        services.control().schedule(settings.drainDelay(), () -> stopAcceptingWork(batchDrained));
    }

    private void stopAcceptingWork(CompletableFuture<Void> batchDrained) {
        services.readiness().stopAcceptingWork();
        long deadline = System.nanoTime() + settings.drainTimeout().toNanos();
        CompletableFuture.allOf(batchDrained, services.limiter().leave())
                .thenRun(() -> services.control().execute(() -> awaitCalls(deadline)));
    }

    private void awaitCalls(long deadlineNanos) {
        ControlThread control = services.control();
        int callsLeft = Math.max(services.callsInFlight(), callerServer.pendingResponses());
        if (callsLeft == 0) {
            drained.complete(null);
        } else if (System.nanoTime() - deadlineNanos >= 0) {
            Logger.warn("{} calls still in flight after the drain timeout are aborted", callsLeft);
            drained.complete(null);
        } else {
            control.schedule(DRAIN_POLL_INTERVAL, () -> awaitCalls(deadlineNanos));
        }
    }

    /** Stops at once; calls in flight are aborted. */
    @Override
    public void close() {
        callerServer.close();
        operatorServer.close();
        peerServer.close();
        services.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private HttpServer bind(
            Endpoint address,
            HttpLimits limits,
            @Nullable Supplier<SslContext> tls,
            HttpHandler handler)
            throws BindException {
        return HttpServer.start(group, address.host(), address.port(), limits, tls, handler);
    }

    /** TLS contexts for new connections of each port and of the links; null for plaintext. */
    private record Certificates(
            @Nullable Supplier<SslContext> caller,
            @Nullable Supplier<SslContext> peer,
            @Nullable Supplier<SslContext> links) {
        static Certificates open(EntrySettings settings) throws IOException {
            Supplier<SslContext> caller =
                    settings.callerTls().isEmpty() ? null : settings.callerTls().get().open();
            if (settings.peerTls().isEmpty()) {
                return new Certificates(caller, null, null);
            }
            MutualTls peer = MutualTls.open(settings.peerTls().get());
            return new Certificates(caller, peer.serverContexts(), peer.clientContexts());
        }
    }
}
