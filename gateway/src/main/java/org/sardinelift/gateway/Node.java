package org.sardinelift.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.BindException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.poison.RefusedTrait;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.feed.CrashCauseFeed;
import org.sardinelift.gateway.feed.EvacuationFeed;
import org.sardinelift.gateway.feed.InstanceFeed;
import org.sardinelift.gateway.feed.PeerSnapshots;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.feed.StoreAvailability;
import org.sardinelift.gateway.feed.TargetFeed;
import org.sardinelift.gateway.feed.VersionRecordFeed;
import org.sardinelift.gateway.feed.VersionStateFeed;
import org.sardinelift.gateway.peer.CrashReports;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.objects.CallBudget;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.objects.MeteredObjectStore;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.RateLimitedObjectStore;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.Metrics;
import org.sardinelift.runtime.log.LogEvent;

/**
 * The components that gateways and workers share: one thread for traffic and one for control, the
 * store, the feeds, the network of instances and the internal port.
 */
final class Node implements AutoCloseable {
    /** A peer in another zone accepts a new connection within a few milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Shorter than the idle timeouts of the store and of peers, which close later. */
    private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(2);

    /** Rare enough to cost nothing, frequent enough to show what an outage cost. */
    private static final Duration STORE_CALL_LOG_INTERVAL = Duration.ofSeconds(10);

    private static final Duration VERSION_RECORD_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration VERSION_STATE_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final int MAX_QUEUED_STORE_CALLS = 2_000;
    private static final String METRICS_PATH = "/metrics";
    private static final String STATUS_PATH = "/status";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final NodeSettings settings;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final ControlThread control;
    private final HttpClient client;
    private final StoreAvailability storeAvailability = new StoreAvailability();
    private final MeteredObjectStore store;
    private final PlanFeed plans;
    private final TargetFeed targets;
    private final PeerNetwork network;
    private final PeerSnapshots snapshots;
    private final InstanceFeed instances;
    private final CrashCauseFeed crashCauses;
    private final VersionRecordFeed versionRecord;
    private final VersionStateFeed versionStates;
    private Listener listener = new Listener() {};

    /** Is notified of what the feeds have read, on the event loop. */
    interface Listener {
        /**
         * A newer configuration is in force.
         *
         * @param plan the configuration
         */
        default void onPlanChanged(ServingPlan plan) {}

        /**
         * The targets have changed.
         *
         * @param entries registrations by id
         */
        default void onTargetsChanged(Map<String, RegisteredTarget> entries) {}
    }

    private Node(NodeSettings settings, PeerRole role, PlatformAdapter adapter)
            throws BindException {
        ResponseMemoryMetrics.register();
        this.settings = settings;
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.loop = (EventLoop) group.next();
        this.control = ControlThread.start("control");
        this.client = HttpClient.createPlaintext(group, CONNECT_TIMEOUT, CONNECTION_IDLE_TIMEOUT);
        this.store = createStore(adapter);
        this.network = PeerNetwork.bind(settings, role, loop, new FeedState());
        this.plans =
                PlanFeed.of(
                        adapter,
                        store,
                        control,
                        storeAvailability,
                        network::isPlanReader,
                        settings.boundsTargetMemory(),
                        this::onPlan);
        this.targets =
                TargetFeed.of(
                        adapter,
                        store,
                        control,
                        storeAvailability,
                        network::isTargetsReader,
                        this::onTargets);
        this.snapshots =
                PeerSnapshots.of(settings.zone(), network, client, loop, control, plans, targets);
        this.instances =
                InstanceFeed.of(
                        settings.instance(),
                        role,
                        settings.internalAddress(),
                        store,
                        control,
                        storeAvailability,
                        instanceListener());
        this.crashCauses =
                CrashCauseFeed.of(
                        store,
                        control,
                        storeAvailability,
                        trait -> loop.execute(() -> network.crashes().onStoredTrait(trait)));
        adapter.evacuationKind().ifPresent(this::listEvacuations);
        this.versionRecord =
                VersionRecordFeed.of(
                        store,
                        control,
                        storeAvailability,
                        ages ->
                                loop.execute(
                                        () ->
                                                network.streams()
                                                        .history()
                                                        .onRecord(ages, System.nanoTime())));
        this.versionStates = createVersionStateFeed();
    }

    private VersionStateFeed createVersionStateFeed() {
        return VersionStateFeed.of(
                store,
                loop,
                storeAvailability,
                network.streams().recorded(),
                () -> network.streams().dueAction(network.isTargetsReader(), System.nanoTime()));
    }

    private InstanceFeed.Listener instanceListener() {
        return new InstanceFeed.Listener() {
            @Override
            public void onInstanceRegistered(String name, PeerRole peerRole, Endpoint address) {
                loop.execute(() -> network.onInstanceRegistered(name, peerRole, address));
            }

            @Override
            public void onListed() {
                loop.execute(network::onInstancesListed);
            }
        };
    }

    private void listEvacuations(String kind) {
        network.evacuations()
                .ifPresent(each -> each.setLister(EvacuationFeed.of(kind, store, control, loop)));
    }

    /** Starts to list the targets, once the evacuated zones among theirs are known. */
    private void startTargets() {
        network.evacuations()
                .ifPresentOrElse(
                        each -> loop.execute(() -> each.runAfterFirstList(targets::start)),
                        targets::start);
    }

    /** Has this instance write which versions were registered, if it reads the targets itself. */
    private void recordVersions() {
        if (network.isTargetsReader()) {
            network.streams()
                    .history()
                    .dueRecord(System.nanoTime())
                    .ifPresent(versionRecord::write);
        }
    }

    private void storeRefusedTraits() {
        network.crashes()
                .setRefusalListener(
                        new CrashReports.RefusalListener() {
                            @Override
                            public void onRefused(RefusedTrait trait) {
                                crashCauses.onRefused(trait);
                            }

                            @Override
                            public void onCleared(long trait) {
                                crashCauses.onCleared(trait);
                            }
                        });
    }

    static Node create(NodeSettings settings, PeerRole role, PlatformAdapter adapter)
            throws BindException {
        return new Node(settings, role, adapter);
    }

    /** State of the feeds for the reports to peers. */
    private final class FeedState implements PeerNetwork.StoreReadState {
        @Override
        public long planVersion() {
            return plans.version();
        }

        @Override
        public long planReadAt() {
            return plans.confirmedAt();
        }

        @Override
        public long targetsReadAt() {
            return targets.listedAt();
        }

        @Override
        public long targetsRevision() {
            return targets.snapshot().changedRevision();
        }

        @Override
        public long targetsConfirmedAt() {
            return targets.snapshot().readAt();
        }
    }

    private MeteredObjectStore createStore(PlatformAdapter adapter) {
        ObjectStore httpStore =
                HttpObjectStore.create(
                        client,
                        settings.storeAddress().host(),
                        settings.storeAddress().port(),
                        settings.storeTimeout(),
                        adapter.objectDialect());
        int rate = settings.storeCallsPerSecond();
        return MeteredObjectStore.wrap(
                RateLimitedObjectStore.wrap(
                        httpStore, new CallBudget(rate, rate, MAX_QUEUED_STORE_CALLS), loop));
    }

    private void logStoreCalls() {
        LogEvent event = LogEvent.of("store.calls");
        store.callCounts().forEach((name, count) -> event.with(name, count));
        event.info();
    }

    void start(Listener newListener) {
        listener = newListener;
        targets.setListListener(
                (entries, readAt) ->
                        loop.execute(
                                () ->
                                        network.rateLimits()
                                                .cold()
                                                .onListed(entries.values(), readAt)));
        plans.start();
        versionRecord.start(this::startTargets);
        instances.start();
        storeRefusedTraits();
        crashCauses.start();
        snapshots.start();
        network.start();
        control.scheduleRepeatedly(STORE_CALL_LOG_INTERVAL, this::logStoreCalls);
        control.scheduleRepeatedly(
                VERSION_STATE_CHECK_INTERVAL, () -> loop.execute(versionStates::check));
        control.scheduleRepeatedly(
                VERSION_RECORD_CHECK_INTERVAL, () -> loop.execute(this::recordVersions));
    }

    private void onPlan(ServingPlan plan) {
        loop.execute(
                () -> {
                    network.quota().updateLimits(plan.rateLimits(), System.nanoTime());
                    network.rateLimits().cold().onPlan(plan);
                    network.setMemoryLimited(plan.hasMemoryLimits());
                    network.onLocalChange();
                    listener.onPlanChanged(plan);
                });
    }

    private void onTargets(Map<String, RegisteredTarget> entries) {
        loop.execute(
                () -> {
                    network.streams().onTargets(entries.values());
                    versionStates.check();
                    listener.onTargetsChanged(entries);
                });
    }

    /** Serves snapshots, status, metrics and the role's own calls on the internal port. */
    HttpServer startInternalServer(TargetTable table, HttpHandler roleHandler)
            throws BindException {
        network.evacuations().ifPresent(each -> table.addExclusion(each::isExcluded));
        return HttpServer.start(
                group,
                settings.internalAddress().host(),
                settings.internalAddress().port(),
                HttpLimits.defaults(),
                null,
                exchange -> {
                    boolean handled =
                            snapshots.handle(exchange)
                                    || handleMetrics(exchange)
                                    || handleStatus(exchange, table);
                    if (!handled) {
                        roleHandler.handle(exchange);
                    }
                });
    }

    private static boolean handleMetrics(HttpExchange exchange) {
        if (!exchange.path().equals(METRICS_PATH)) {
            return false;
        }
        exchange.respond(OK, Map.of("content-type", Metrics.CONTENT_TYPE), Metrics.text());
        return true;
    }

    private boolean handleStatus(HttpExchange exchange, TargetTable table) {
        if (!exchange.path().equals(STATUS_PATH)) {
            return false;
        }
        exchange.respondJson(
                OK,
                StatusReport.toJson(
                        settings.instance(),
                        plans.version(),
                        storeAvailability,
                        targets,
                        network,
                        table));
        return true;
    }

    static void respondNotFound(HttpExchange exchange) {
        exchange.respondJson(NOT_FOUND, "{\"detail\":\"no such call\"}");
    }

    NodeSettings settings() {
        return settings;
    }

    EventLoopGroup group() {
        return group;
    }

    EventLoop loop() {
        return loop;
    }

    ControlThread control() {
        return control;
    }

    HttpClient client() {
        return client;
    }

    StoreAvailability storeAvailability() {
        return storeAvailability;
    }

    ObjectStore store() {
        return store;
    }

    PlanFeed plans() {
        return plans;
    }

    TargetFeed targets() {
        return targets;
    }

    PeerNetwork network() {
        return network;
    }

    @Override
    public void close() {
        network.close();
        control.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
