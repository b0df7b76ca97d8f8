package org.sardinelift.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.KeyDigest;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.explain.TeamRequestCounter;
import org.sardinelift.core.explain.TeamStatus;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.entry.batch.BatchHttp;
import org.sardinelift.entry.batch.BatchService;
import org.sardinelift.entry.batch.JobDecisions;
import org.sardinelift.entry.call.CompanionListener;
import org.sardinelift.entry.call.CrashGuard;
import org.sardinelift.entry.call.FrameDispatcher;
import org.sardinelift.entry.call.LinkOpener;
import org.sardinelift.entry.control.ConfigChangeRecorder;
import org.sardinelift.entry.control.ConfigController;
import org.sardinelift.entry.control.FleetLimiter;
import org.sardinelift.entry.control.MembershipController;
import org.sardinelift.entry.control.ShareReclaimMonitor;
import org.sardinelift.entry.filter.CallContext;
import org.sardinelift.entry.filter.CallFilter;
import org.sardinelift.entry.filter.DispatchFilter;
import org.sardinelift.entry.filter.DrainFilter;
import org.sardinelift.entry.filter.IdempotencyFilter;
import org.sardinelift.entry.filter.KeyFilter;
import org.sardinelift.entry.filter.LimitFilter;
import org.sardinelift.entry.filter.PoisonFilter;
import org.sardinelift.entry.filter.RefusalRecordingFilter;
import org.sardinelift.entry.filter.RunningCalls;
import org.sardinelift.entry.filter.ServiceFilter;
import org.sardinelift.entry.filter.TraceFilter;
import org.sardinelift.entry.http.CallerRoutes;
import org.sardinelift.entry.http.OperatorRoutes;
import org.sardinelift.entry.order.OrderController;
import org.sardinelift.entry.order.OrderTransport;
import org.sardinelift.entry.peer.PeerMesh;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameLink;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.Telemetry;

/** Creates and connects the controllers, the dispatcher and the filters of an entry. */
final class EntryServices {
    static final String ROLE = "entry";
    private static final Duration METRICS_INTERVAL = Duration.ofSeconds(1);

    private final EntrySettings settings;
    private final EventLoopGroup group;
    private final ObjectStore store;
    private final @Nullable Supplier<SslContext> peerTls;
    private final String incarnation = UUID.randomUUID().toString();
    private final ControlThread control = ControlThread.start("entry-control");
    private final ControlThread explainThread = ControlThread.start("entry-explain");
    private final Telemetry telemetry;
    private final PeerMesh peers;
    private final ConfigController config;
    private final MembershipController membership;
    private final FleetLimiter limiter;
    private final Readiness readiness;
    private final CrashGuard crashGuard;
    private final FrameDispatcher dispatcher;
    private final RunningCalls calls;
    private final DecisionRecorder decisions;
    private final TeamRequestCounter requestCounter = TeamRequestCounter.create();
    private final CompanionConnections companions = new CompanionConnections();
    private final Explainer explainer;
    private final ShareReclaimMonitor reclaimMonitor;
    private final JobDecisions jobDecisions;
    private final BatchService batch;
    private final OrderController orders;

    EntryServices(
            EntrySettings settings,
            EventLoopGroup group,
            ObjectStore store,
            @Nullable Supplier<SslContext> peerTls) {
        this.settings = settings;
        this.group = group;
        this.store = store;
        this.peerTls = peerTls;
        telemetry =
                Telemetry.start(
                        settings.instance(),
                        settings.traceFile(),
                        settings.otlpEndpoint(),
                        settings.traceRatio());
        peers = PeerMesh.of(group, peerTls, () -> createHello(Lane.CONTROL), settings.links());
        config = ConfigController.of(store, control, peers, settings.instance(), settings.config());
        membership = MembershipController.of(store, control, settings.membership());
        limiter = createLimiter();
        readiness = Readiness.of(config::isReady, limiter::isReady, config::isIsolated);
        crashGuard = CrashGuard.of(settings.instance(), settings.poison(), peers, store, group);
        DecisionLog log = DecisionLog.of(settings.maxDecisions());
        decisions = DecisionRecorder.of(log, System::currentTimeMillis);
        dispatcher = createDispatcher(log);
        calls = RunningCalls.of(config::catalog);
        explainer =
                new Explainer(
                        settings.instance(),
                        log,
                        peers,
                        companions,
                        membership::view,
                        explainThread);
        reclaimMonitor =
                ShareReclaimMonitor.of(
                        new MemberId(settings.instance(), incarnation),
                        decisions,
                        membership::view,
                        peers);
        jobDecisions = JobDecisions.of(decisions);
        batch =
                BatchService.start(
                        store,
                        dispatcher,
                        config::catalog,
                        membership::view,
                        settings.instance(),
                        control,
                        settings.batch(),
                        jobDecisions);
        orders =
                OrderController.of(
                        store,
                        control::execute,
                        System::nanoTime,
                        new DispatcherTransport(dispatcher),
                        config::catalog,
                        new Holder(settings.instance(), incarnation),
                        settings.orders());
    }

    private FleetLimiter createLimiter() {
        return FleetLimiter.of(
                store,
                control,
                peers,
                this::findPlan,
                new MemberId(settings.instance(), incarnation),
                settings.limits(),
                settings.seed() == 0
                        ? new SplittableRandom()
                        : new SplittableRandom(settings.seed()));
    }

    private Optional<TeamPlan> findPlan(String team) {
        TeamPlan open = createOpenTeam();
        return team.equals(open.name())
                ? Optional.of(open)
                : Optional.ofNullable(config.catalog().teams().get(team));
    }

    private FrameDispatcher createDispatcher(DecisionLog log) {
        Random random = settings.seed() == 0 ? new Random() : new Random(settings.seed());
        return FrameDispatcher.create(
                settings.instance(),
                settings.zone(),
                settings.calls(),
                createLinkOpener(),
                new CompanionEvents(),
                group,
                random::nextDouble,
                crashGuard,
                log,
                telemetry);
    }

    void start() {
        membership.addListener(dispatcher::update);
        membership.addListener(peers::update);
        membership.addInstanceListListener(limiter::onInstancesListed);
        config.addListener((before, after) -> calls.onCatalogChanged(after));
        config.addListener(limiter);
        config.addListener(ConfigChangeRecorder.of(decisions));
        config.addListener((before, after) -> requestCounter.retainTeams(teamNames(after)));
        limiter.setSharesListener(reclaimMonitor);
        limiter.start();
        config.start(readiness::isAccepting);
        membership.start();
        crashGuard.setSuspectListener(dispatcher::requeueSuspects);
        crashGuard.start(control);
        control.scheduleRepeatedly(settings.orders().pollInterval(), orders::poll);
        control.scheduleRepeatedly(METRICS_INTERVAL, this::updateMetrics);
    }

    private void updateMetrics() {
        EntryMetrics.setCallsInFlight(callsInFlight());
        EntryMetrics.setRevision(config.catalog().revision());
        EntryMetrics.setTargets(dispatcher.candidates());
        EntryMetrics.setJobs(jobDecisions.heldJobs());
    }

    ControlThread control() {
        return control;
    }

    PeerMesh peers() {
        return peers;
    }

    Readiness readiness() {
        return readiness;
    }

    FleetLimiter limiter() {
        return limiter;
    }

    BatchService batch() {
        return batch;
    }

    /** Returns the number of online calls and batch items that have not ended. */
    int callsInFlight() {
        return Math.max(calls.size(), dispatcher.callsInFlight());
    }

    Hello createHello(Lane lane) {
        return new Hello(
                settings.instance(),
                incarnation,
                ROLE,
                settings.zone(),
                lane,
                FrameConnection.PROTOCOL_VERSION,
                config == null ? 0 : config.catalog().revision());
    }

    CallerRoutes createCallerRoutes() {
        RequestBounds requests = settings.requests();
        List<CallFilter> commonFilters =
                List.of(
                        TraceFilter.of(telemetry),
                        RefusalRecordingFilter.of(decisions, requestCounter),
                        DrainFilter.of(readiness::refusal),
                        KeyFilter.of(
                                config::catalog,
                                KeyDigest.of(settings.keyPepper()),
                                createOpenTeam()));
        List<CallFilter> callFilters =
                List.of(
                        calls,
                        ServiceFilter.of(
                                config::catalog,
                                requests.defaultDeadline(),
                                requests.maxDeadline(),
                                requests.prefixChars()),
                        LimitFilter.of(limiter, limiter::share, decisions, requestCounter),
                        PoisonFilter.of(crashGuard),
                        IdempotencyFilter.of(store, group, settings.idempotency()),
                        DispatchFilter.of(dispatcher));
        return CallerRoutes.of(
                commonFilters,
                callFilters,
                config::catalog,
                BatchHttp.of(batch, limiter),
                this::createContext);
    }

    OperatorRoutes createOperatorRoutes(Runnable drain) {
        return OperatorRoutes.of(
                new OperatorRoutes.Sources(
                        settings.instance(),
                        settings.zone(),
                        readiness::notReadyReason,
                        config::catalog,
                        dispatcher::candidates,
                        this::callsInFlight,
                        () -> peers.connected().size(),
                        this::teamStatus,
                        jobDecisions::heldJobs,
                        reclaimMonitor::pendingReclaims,
                        explainer::handle,
                        drain));
    }

    void close() {
        batch.close();
        dispatcher.close();
        peers.close();
        control.close();
        explainThread.close();
        telemetry.close();
    }

    private CallContext createContext(HttpExchange exchange) {
        return CallContext.of(
                exchange, UUID.randomUUID().toString(), settings.requests().maxUnsentBytes());
    }

    private TeamPlan createOpenTeam() {
        return new TeamPlan(
                "",
                settings.requests().openRatePerSecond(),
                settings.requests().openBurst(),
                Set.of(),
                Set.of(),
                1,
                1);
    }

    private static Set<String> teamNames(Catalog catalog) {
        Set<String> names = new HashSet<>(catalog.teams().keySet());
        names.add("");
        return names;
    }

    private List<TeamStatus> teamStatus() {
        return TeamStatus.ofActiveTeams(
                config.catalog().teams(),
                requestCounter.traffic(System.nanoTime()),
                dispatcher.callsByTeam(false),
                dispatcher.callsByTeam(true));
    }

    private LinkOpener createLinkOpener() {
        return (companion, lane, listener) ->
                FrameLink.open(
                                group,
                                companion.host(),
                                companion.port(),
                                peerTls,
                                () -> createHello(lane),
                                settings.links(),
                                lane == Lane.CONTROL
                                        ? companions.interceptResults(companion.name(), listener)
                                        : listener)
                        ::close;
    }

    /** Forwards the events of connections to companions. */
    private final class CompanionEvents implements CompanionListener {
        @Override
        public void onConnection(String instance, boolean isConnected) {
            membership.onConnectionChanged(instance, isConnected);
            if (!isConnected) {
                orders.onConnectionLost(instance);
            }
        }

        @Override
        public void onLeaving(String instance) {
            decisions.record(DecisionAction.LEAVING, instance, "its companion says so", Map.of());
            membership.onLeaving(instance);
        }

        @Override
        public void onOrderResult(OrderResult result) {
            orders.onResult(result);
        }
    }

    /** Sends orders over the dispatcher's connections. */
    private record DispatcherTransport(FrameDispatcher dispatcher) implements OrderTransport {
        @Override
        public List<TargetView> targets() {
            return dispatcher.targetViews();
        }

        @Override
        public boolean send(String companion, Order order) {
            return dispatcher.sendOrder(companion, order);
        }
    }
}
