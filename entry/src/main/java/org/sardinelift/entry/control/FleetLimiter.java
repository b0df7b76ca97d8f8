package org.sardinelift.entry.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.FleetLimit;
import org.sardinelift.core.limit.LimitActions;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.ShareCall;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.core.limit.TeamLimiter;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Borrow;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lend;
import org.sardinelift.protocol.generated.Revision;
import org.sardinelift.runtime.ControlThread;
import org.tinylog.Logger;

/**
 * Limits each team's requests over the whole fleet. A request that this entry's own tokens cover is
 * admitted on the calling thread; others wait on the control thread, for a bounded time, for tokens
 * lent by other entries. {@link FleetLimit} makes the decisions.
 */
public final class FleetLimiter implements TeamLimiter, CatalogListener {
    private static final int MAX_LEAVE_CALLS = 3;
    private static final String ROLE = "entry";
    private static final String OPEN_TEAM = "";

    private final ShareStore store;
    private final ControlThread control;
    private final Peers peers;
    private final Function<String, Optional<TeamPlan>> plans;
    private final FleetLimit limit;
    private final Duration leaveTimeout;
    private final Duration shareWaitTimeout;
    private final CompletableFuture<Void> leaveResult = new CompletableFuture<>();
    private final Map<Long, Consumer<Admission>> waitingRequests = new HashMap<>();
    private final Actions actions = new Actions();
    private final AtomicBoolean isTickRequested = new AtomicBoolean();
    private OptionalLong startedAt = OptionalLong.empty();
    private long lastRequestId;
    private long timerDueNanos = Long.MAX_VALUE;
    private boolean isMissingFromList;
    private volatile boolean isReady;
    private volatile double share;

    private FleetLimiter(
            ObjectStore store,
            ControlThread control,
            Peers peers,
            Function<String, Optional<TeamPlan>> plans,
            FleetLimit limit,
            LimitBounds bounds) {
        this.control = control;
        this.peers = peers;
        this.plans = plans;
        this.limit = limit;
        this.store = new ShareStore(store, control, limit.ledger(), this::onOutcome);
        this.leaveTimeout = leaveTimeout(bounds);
        this.shareWaitTimeout = bounds.contactBound().plus(bounds.balanceInterval());
    }

    /**
     * Creates a limiter that has no share of the limits yet.
     *
     * @param store the platform's object store
     * @param control the control thread
     * @param peers the other entries
     * @param plans finds the plan of a team for which a peer requests tokens
     * @param self this incarnation of this entry
     * @param bounds intervals and bounds
     * @param random source for jitter and for the choice of peers
     * @return the limiter
     */
    public static FleetLimiter of(
            ObjectStore store,
            ControlThread control,
            Peers peers,
            Function<String, Optional<TeamPlan>> plans,
            MemberId self,
            LimitBounds bounds,
            RandomGenerator random) {
        FleetLimit limit = FleetLimit.create(self, bounds, random);
        return new FleetLimiter(store, control, peers, plans, limit, bounds);
    }

    /** Starts to acquire a share of the limits and to lend tokens. */
    public void start() {
        long now = System.nanoTime();
        peers.addListener(new LoanListener());
        control.execute(
                () -> {
                    startedAt = OptionalLong.of(now);
                    tick();
                });
    }

    /**
     * Called on the control thread when the platform's list of instances was read.
     *
     * @param listed the listed instances
     */
    public void onInstancesListed(List<InstanceInfo> listed) {
        Set<String> entries =
                listed.stream()
                        .filter(info -> info.role().equals(ROLE))
                        .map(InstanceInfo::name)
                        .collect(Collectors.toSet());
        boolean isMissing = !entries.isEmpty() && !entries.contains(limit.self().instance());
        if (isMissing && !isMissingFromList) {
            Logger.warn(
                    "The platform's list of instances lacks this entry; it uses no share of the"
                            + " limits and borrows from other entries until it is listed");
        }
        isMissingFromList = isMissing;
        limit.ledger().onListed(entries, System.nanoTime());
        scheduleTick();
    }

    @Override
    public void onCatalogChanged(Catalog before, Catalog after) {
        Set<String> teams = new HashSet<>(after.teams().keySet());
        teams.add(OPEN_TEAM);
        limit.retainTeams(teams);
    }

    /**
     * Whether this entry has had a share of the limits since its start or, where it got none within
     * the time that a join takes, a connection to a peer that may lend. Before that it could only
     * refuse requests, or serve only as long as its lenders run. Safe for use by any thread.
     *
     * @return true once requests can be admitted
     */
    public boolean isReady() {
        return isReady;
    }

    /**
     * Returns the part of all rates and bursts that this entry may use without loans. Safe for use
     * by any thread.
     *
     * @return fraction, 0 to 1
     */
    public double share() {
        return share;
    }

    /**
     * Sets the listener of the shares of all entries. To be called before {@link #start}.
     *
     * @param listener the listener, called on the control thread
     */
    public void setSharesListener(SharesListener listener) {
        store.setListener(listener);
    }

    /**
     * Releases this entry's share, since it is about to stop. The units return to the pool as soon
     * as tokens that were lent from them have expired. Safe for use by any thread.
     *
     * @return completes when the platform has confirmed the release, or after a bounded time
     */
    public CompletableFuture<Void> leave() {
        control.execute(
                () -> {
                    limit.ledger().leave(System.nanoTime());
                    scheduleTick();
                    control.schedule(leaveTimeout, this::endLeave);
                });
        return leaveResult;
    }

    private void endLeave() {
        if (leaveResult.complete(null)) {
            Logger.warn(
                    "This entry's share of the limits could not be released in time; other entries"
                            + " reclaim it once this one is gone from the list of instances");
        }
    }

    private static Duration leaveTimeout(LimitBounds bounds) {
        Duration call = bounds.callTimeout().plus(bounds.retry());
        return bounds.loanTtl().plus(bounds.loanMargin()).plus(call.multipliedBy(MAX_LEAVE_CALLS));
    }

    @Override
    public void admit(TeamPlan team, Consumer<Admission> answer) {
        if (limit.tryAdmit(team, System.nanoTime())) {
            LimitMetrics.REQUESTS.labelValues("own").inc();
            answer.accept(new Admission.Admitted());
            requestTick();
            return;
        }
        control.execute(
                () -> {
                    waitingRequests.put(++lastRequestId, answer);
                    limit.admit(team, lastRequestId, System.nanoTime(), actions);
                    scheduleTick();
                });
    }

    /** Schedules a tick where a request on another thread left messages to be sent. */
    private void requestTick() {
        if (limit.hasPendingMessages() && isTickRequested.compareAndSet(false, true)) {
            control.execute(this::scheduleTick);
        }
    }

    /** Schedules the next tick; called after each event. */
    private void scheduleTick() {
        long now = System.nanoTime();
        long dueNanos = Math.max(now, limit.nextTickAt(now));
        if (dueNanos < timerDueNanos) {
            timerDueNanos = dueNanos;
            control.schedule(Duration.ofNanos(dueNanos - now), () -> onTimer(dueNanos));
        }
    }

    /** Does nothing where an earlier timer has replaced this one. */
    private void onTimer(long dueNanos) {
        if (dueNanos == timerDueNanos) {
            tick();
        }
    }

    private void tick() {
        timerDueNanos = Long.MAX_VALUE;
        try {
            limit.tick(System.nanoTime(), actions);
        } finally {
            isTickRequested.set(false);
            updateState();
            scheduleTick();
        }
    }

    private void updateState() {
        isReady = isReady || limit.ledger().usableUnits() > 0 || mayServeFromLoans();
        if (limit.ledger().hasLeft()) {
            leaveResult.complete(null);
        }
        share = limit.ledger().usableUnits() / (double) Shares.TOTAL_UNITS;
        LimitMetrics.SHARE_RATIO.set(share);
    }

    /** Whether this entry waited long enough for its own share and has peers that may lend. */
    private boolean mayServeFromLoans() {
        boolean hasWaited =
                startedAt.isPresent()
                        && System.nanoTime() - startedAt.getAsLong() >= shareWaitTimeout.toNanos();
        return hasWaited && !peers.connected().isEmpty();
    }

    private void onOutcome() {
        updateState();
        scheduleTick();
    }

    private final class Actions implements LimitActions {
        @Override
        public void answer(long requestId, Admission admission) {
            String decision = admission instanceof Admission.Admitted ? "borrowed" : "refused";
            LimitMetrics.REQUESTS.labelValues(decision).inc();
            waitingRequests.remove(requestId).accept(admission);
        }

        @Override
        public void borrow(String peer, long loanId, String team, double tokens) {
            peers.send(peer, LoanFrames.createBorrow(loanId, team, tokens));
        }

        @Override
        public void lend(String peer, long loanId, String team, double tokens, long ttlMs) {
            peers.send(peer, LoanFrames.createLend(loanId, team, tokens, ttlMs));
        }

        @Override
        public void callPlatform(ShareCall call) {
            store.execute(call);
        }
    }

    private final class LoanListener implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {
            control.execute(
                    () -> {
                        limit.onConnected(Set.copyOf(peers.connected()));
                        updateState();
                        scheduleTick();
                    });
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            String peer = connection.peer().getInstance();
            if (frame.isSetBorrow()) {
                control.execute(() -> onBorrow(peer, frame.getBorrow()));
            } else if (frame.isSetLend()) {
                control.execute(() -> onLend(peer, frame.getLend()));
            } else if (frame.isSetRevision()) {
                control.execute(() -> onRevision(peer, frame.getRevision()));
            }
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {
            onConnected(connection);
        }

        private void onBorrow(String peer, Borrow borrow) {
            long now = System.nanoTime();
            Optional<TeamPlan> plan = plans.apply(borrow.getTeam());
            if (plan.isPresent()) {
                limit.onBorrow(
                        peer,
                        borrow.getExchange(),
                        plan.get(),
                        LoanFrames.tokens(borrow),
                        now,
                        actions);
                scheduleTick();
            } else {
                actions.lend(peer, borrow.getExchange(), borrow.getTeam(), 0, 1);
            }
        }

        private void onLend(String peer, Lend lend) {
            limit.onLend(
                    peer,
                    lend.getExchange(),
                    lend.getTeam(),
                    LoanFrames.tokens(lend),
                    lend.getTtlMs(),
                    System.nanoTime(),
                    actions);
            scheduleTick();
        }

        private void onRevision(String peer, Revision revision) {
            long ageNanos = Duration.ofMillis(revision.getPlatformContactAgeMs()).toNanos();
            limit.ledger().onPeerReport(peer, ageNanos, System.nanoTime());
            scheduleTick();
        }
    }
}
