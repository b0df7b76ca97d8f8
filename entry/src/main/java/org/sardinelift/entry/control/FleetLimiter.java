package org.sardinelift.entry.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Counts each team's requests over the whole fleet. A request that this entry's own tokens cover is
 * admitted on the calling thread; others wait on the control thread for loans of other entries, for
 * a bounded time. The decisions are {@link FleetLimit}'s.
 */
public final class FleetLimiter implements TeamLimiter, CatalogListener {
    private static final int LEAVE_CALLS = 3;
    private static final String ROLE = "entry";
    private static final String OPEN_TEAM = "";

    private final ShareStore store;
    private final ControlThread control;
    private final Peers peers;
    private final Function<String, Optional<TeamPlan>> plans;
    private final FleetLimit limit;
    private final Duration longestLeave;
    private final Duration longestWaitForShare;
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private final Map<Long, Consumer<Admission>> waiting = new HashMap<>();
    private final Actions actions = new Actions();
    private final AtomicBoolean woken = new AtomicBoolean();
    private long startedAt;
    private long tickets;
    private long timerAt = Long.MAX_VALUE;
    private boolean delisted;
    private volatile boolean ready;
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
        this.longestLeave = longestLeave(bounds);
        this.longestWaitForShare = bounds.contactBound().plus(bounds.balanceInterval());
    }

    /**
     * Makes a limiter that holds no share yet.
     *
     * @param store the platform
     * @param control the control thread
     * @param peers the other entries
     * @param plans finds the plan of a team that a peer asks tokens for
     * @param self this life of this entry
     * @param bounds intervals and bounds
     * @param random for jitter and choice
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

    /** Starts to hold a share and to lend. */
    public void start() {
        startedAt = System.nanoTime();
        peers.listen(new LoanListener());
        control.execute(this::tick);
    }

    /**
     * The platform's list of instances was read; on the control thread.
     *
     * @param listed what it shows
     */
    public void onList(List<InstanceInfo> listed) {
        Set<String> entries =
                listed.stream()
                        .filter(info -> info.role().equals(ROLE))
                        .map(InstanceInfo::name)
                        .collect(Collectors.toSet());
        boolean missing = !entries.isEmpty() && !entries.contains(limit.self().instance());
        if (missing && !delisted) {
            Logger.warn(
                    "The platform's list of instances lacks this entry; it takes no share of the"
                            + " limits and borrows from other entries until the list shows it");
        }
        delisted = missing;
        limit.ledger().onListed(entries, System.nanoTime());
        arrange();
    }

    @Override
    public void onCatalogChanged(Catalog before, Catalog after) {
        Set<String> teams = new HashSet<>(after.teams().keySet());
        teams.add(OPEN_TEAM);
        limit.retainTeams(teams);
    }

    /**
     * Whether this entry has come to hold a share since its start or, where none has come within
     * the time that a join takes, to reach a peer that may lend; safe for any thread. Before that
     * it could only refuse, or serve only as long as its lenders live.
     *
     * @return true once requests can be admitted
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * The part of all rates and bursts that this entry may spend by itself; safe for any thread.
     *
     * @return fraction, 0 to 1
     */
    public double share() {
        return share;
    }

    /**
     * Lets another see the shares of all entries; to be called before {@link #start}.
     *
     * @param listener the listener, called on the control thread
     */
    public void listen(SharesListener listener) {
        store.setListener(listener);
    }

    /**
     * Gives this entry's share back, since it is about to stop; safe for any thread. The units go
     * to the pool as soon as tokens that were lent from them have expired.
     *
     * @return completes when the platform has confirmed it, or after a bounded time where it can't
     */
    public CompletableFuture<Void> leave() {
        control.execute(
                () -> {
                    limit.ledger().leave(System.nanoTime());
                    arrange();
                    control.schedule(longestLeave, this::endLeave);
                });
        return left;
    }

    private void endLeave() {
        if (left.complete(null)) {
            Logger.warn(
                    "This entry's share of the limits could not be given back; other entries take"
                            + " it once the list of instances shows that this one is gone");
        }
    }

    private static Duration longestLeave(LimitBounds bounds) {
        Duration call = bounds.callTimeout().plus(bounds.retry());
        return bounds.loanTtl().plus(bounds.loanMargin()).plus(call.multipliedBy(LEAVE_CALLS));
    }

    @Override
    public void admit(TeamPlan team, Consumer<Admission> answer) {
        if (limit.tryAdmit(team, System.nanoTime())) {
            LimitMetrics.REQUESTS.labelValues("own").inc();
            answer.accept(new Admission.Admitted());
            wake();
            return;
        }
        control.execute(
                () -> {
                    waiting.put(++tickets, answer);
                    limit.admit(team, tickets, System.nanoTime(), actions);
                    arrange();
                });
    }

    /** Has a step arranged where a request on another thread has left something to be sent. */
    private void wake() {
        if (limit.hasPendingMessages() && woken.compareAndSet(false, true)) {
            control.execute(this::arrange);
        }
    }

    /** Arranges the next step for when it is due; called after each event. */
    private void arrange() {
        long now = System.nanoTime();
        long due = Math.max(now, limit.nextTickAt(now));
        if (due < timerAt) {
            timerAt = due;
            control.schedule(Duration.ofNanos(due - now), () -> onTimer(due));
        }
    }

    /** A timer that an earlier one has replaced does nothing. */
    private void onTimer(long due) {
        if (due == timerAt) {
            tick();
        }
    }

    private void tick() {
        timerAt = Long.MAX_VALUE;
        try {
            limit.tick(System.nanoTime(), actions);
        } finally {
            woken.set(false);
            observe();
            arrange();
        }
    }

    private void observe() {
        ready = ready || limit.ledger().usableUnits() > 0 || mayServeByLoans();
        if (limit.ledger().hasLeft()) {
            left.complete(null);
        }
        share = limit.ledger().usableUnits() / (double) Shares.TOTAL_UNITS;
        LimitMetrics.SHARE_RATIO.set(share);
    }

    /** Whether a share of its own has been long in coming and there are peers that may lend. */
    private boolean mayServeByLoans() {
        boolean waited = System.nanoTime() - startedAt >= longestWaitForShare.toNanos();
        return waited && !peers.connected().isEmpty();
    }

    private void onOutcome() {
        observe();
        arrange();
    }

    private final class Actions implements LimitActions {
        @Override
        public void answer(long ticket, Admission admission) {
            String decision = admission instanceof Admission.Admitted ? "borrowed" : "refused";
            LimitMetrics.REQUESTS.labelValues(decision).inc();
            waiting.remove(ticket).accept(admission);
        }

        @Override
        public void borrow(String peer, long exchange, String team, double tokens) {
            peers.send(peer, LoanFrames.createBorrow(exchange, team, tokens));
        }

        @Override
        public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {
            peers.send(peer, LoanFrames.createLend(exchange, team, tokens, ttlMs));
        }

        @Override
        public void callPlatform(ShareCall call) {
            store.execute(call);
        }
    }

    private final class LoanListener implements FrameListener {
        @Override
        public void onUp(FrameConnection connection) {
            control.execute(
                    () -> {
                        limit.onConnected(Set.copyOf(peers.connected()));
                        observe();
                        arrange();
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
        public void onDown(FrameConnection connection, String reason) {
            onUp(connection);
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
                arrange();
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
            arrange();
        }

        private void onRevision(String peer, Revision revision) {
            long age = Duration.ofMillis(revision.getPlatformContactAgeMs()).toNanos();
            limit.ledger().onPeerReport(peer, age, System.nanoTime());
            arrange();
        }
    }
}
