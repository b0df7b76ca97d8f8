package org.sardinelift.core.limit;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Limits of all teams at one entry: its share of them, its accounts and its loans.
 *
 * <p>{@link #tryAdmit} may be called by any thread; it serves requests from this entry's own
 * tokens. All other methods belong to one thread. Times are nanoseconds of a monotonic clock.
 */
public final class FleetLimit {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long LEAST_STEP_NANOS = 10 * NANOS_PER_MILLI;
    private static final int STEPS_IN_PAUSE_BOUND = 8;

    private final MemberId self;
    private final LimitBounds bounds;
    private final ShareLedger ledger;
    private final TokenBorrower desk;
    private final Map<String, TeamAccount> accounts = new ConcurrentHashMap<>();
    private final Set<String> holding = new HashSet<>();
    private final Set<String> due = ConcurrentHashMap.newKeySet();
    private long returnAt = Long.MAX_VALUE;
    private long tickedAt;
    private boolean ticked;
    private final Object opening = new Object();
    private Set<String> connected = Set.of();
    private final ShareHistory history = new ShareHistory();
    private long units;
    private long balanceAt;
    private volatile long steppedAt;
    private volatile boolean stepped;

    private FleetLimit(MemberId self, LimitBounds bounds, RandomGenerator random) {
        this.self = self;
        this.bounds = bounds;
        this.ledger = ShareLedger.create(self, bounds, random);
        this.desk =
                new TokenBorrower(
                        self.instance(),
                        bounds,
                        random,
                        () -> fraction(ledger.reachableUnits(connected)));
    }

    /**
     * Limits of a new life of an entry, which holds no share yet.
     *
     * @param self this entry
     * @param bounds intervals and bounds
     * @param random for jitter and choice
     * @return the limits
     */
    public static FleetLimit create(MemberId self, LimitBounds bounds, RandomGenerator random) {
        return new FleetLimit(self, bounds, random);
    }

    /**
     * Admits a request from this entry's own tokens. Safe for any thread.
     *
     * @param plan the team's plan
     * @param now the time
     * @return whether it was admitted; otherwise {@link #admit} decides
     */
    public boolean tryAdmit(TeamPlan plan, long now) {
        boolean paused = !stepped || now - steppedAt > bounds.pauseBound().toNanos();
        if (paused) {
            return false;
        }
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        boolean taken = account.tryAcquire(now);
        noteDue(plan.name(), account);
        return taken;
    }

    private void noteDue(String team, @Nullable TeamAccount account) {
        if (account != null && account.hasPendingMessages()) {
            due.add(team);
        }
    }

    /**
     * Whether requests have left something to be sent to peers. Safe for any thread.
     *
     * @return true until the next {@link #tick}
     */
    public boolean hasPendingMessages() {
        return !due.isEmpty();
    }

    /**
     * When {@link #tick} must be called next, at the latest, unless something happens before.
     *
     * @param now the time
     * @return that time, or one that has passed
     */
    public long nextTickAt(long now) {
        if (!ticked) {
            return now;
        }
        long soonest = tickedAt + LEAST_STEP_NANOS;
        if (hasPendingMessages() || !desk.waitingTeams().isEmpty() || hasNewShare()) {
            return soonest;
        }
        long latest = tickedAt + bounds.pauseBound().toNanos() / STEPS_IN_PAUSE_BOUND;
        long balance = balanceAt + bounds.balanceInterval().toNanos();
        long own = Math.min(Math.min(latest, balance), returnAt);
        return Math.max(soonest, Math.min(own, ledger.dueAt(now)));
    }

    /**
     * Admits a request from own tokens or, after asking peers, from theirs.
     *
     * @param plan the team's plan
     * @param ticket number of the request, named in the answer
     * @param now the time
     * @param out takes the answer, now or later, and messages to peers
     */
    public void admit(TeamPlan plan, long ticket, long now, LimitActions out) {
        step(now);
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        if (account.tryAcquire(now)) {
            out.answer(ticket, new Admission.Admitted());
        } else {
            desk.submit(plan.name(), account, ticket, now, out);
        }
        settle(plan.name(), account, out);
    }

    /**
     * A peer asks for tokens.
     *
     * @param peer its name
     * @param exchange number of the loan
     * @param plan the team's plan
     * @param tokens tokens wanted
     * @param now the time
     * @param out takes the answer
     */
    public void onBorrow(
            String peer, long exchange, TeamPlan plan, double tokens, long now, LimitActions out) {
        step(now);
        long ttl = bounds.loanTtl().toNanos();
        long until = now + ttl + bounds.loanMargin().toNanos();
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        double lent =
                desk.hasPriorityOver(plan.name(), peer)
                        ? 0
                        : account.lend(peer, exchange, tokens, now, until);
        out.lend(peer, exchange, plan.name(), lent, ttl / NANOS_PER_MILLI);
    }

    /**
     * A peer has answered or has settled a loan.
     *
     * @param peer its name
     * @param exchange number of the loan
     * @param team the team
     * @param tokens tokens lent or returned
     * @param ttlMs 0 where a borrower settles, otherwise how long the tokens may be spent from the
     *     sending of the request, milliseconds
     * @param now the time
     * @param out takes answers and messages
     */
    public void onLend(
            String peer,
            long exchange,
            String team,
            double tokens,
            long ttlMs,
            long now,
            LimitActions out) {
        step(now);
        TeamAccount account = accounts.get(team);
        if (account == null) {
            return;
        }
        if (ttlMs == 0) {
            account.onLoanReturned(peer, exchange, tokens, now);
        } else {
            holding.add(team);
            desk.onLend(peer, exchange, account, tokens, ttlMs * NANOS_PER_MILLI, now, out);
            settle(team, account, out);
            returnAt = Math.min(returnAt, returnAt(account));
        }
    }

    /**
     * The set of peers with an open connection has changed.
     *
     * @param peers their names
     */
    public void onConnected(Set<String> peers) {
        connected.stream().filter(peer -> !peers.contains(peer)).forEach(ledger::onPeerDown);
        connected = Set.copyOf(peers);
        ledger.onConnected(connected);
        desk.onConnected(peers.stream().sorted().toList());
    }

    /**
     * Does what is due: calls of the platform, ends of waits, returns of loans, balancing.
     *
     * @param now the time
     * @param out takes calls, answers and messages
     */
    public void tick(long now, LimitActions out) {
        tickedAt = now;
        ticked = true;
        step(now);
        balance(now);
        ledger.tick(now).ifPresent(out::callPlatform);
        applyShare(now);
        List<String> gathering = desk.waitingTeams();
        desk.tick(accounts, now, out);
        gathering.forEach(team -> noteDue(team, accounts.get(team)));
        List.copyOf(due).forEach(team -> send(team, now, out));
        long soon = now + returnedBefore();
        holding.removeIf(team -> !lookAfter(team, soon, now, out));
        returnAt =
                holding.stream()
                        .mapToLong(team -> returnAt(accounts.get(team)))
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    /** Sends what requests have left to be sent for a team. */
    private void send(String team, long now, LimitActions out) {
        due.remove(team);
        TeamAccount account = accounts.get(team);
        if (account != null) {
            desk.borrowOverpaid(team, account, ledger::unitsOf, now, out);
            settle(team, account, out);
        }
    }

    private long returnedBefore() {
        return bounds.loanTtl().toNanos() / 2;
    }

    /** When the first loan of an account is to be returned. */
    private long returnAt(TeamAccount account) {
        long expiry = account.firstExpiryNanos();
        return expiry == Long.MAX_VALUE ? expiry : expiry - returnedBefore() + 1;
    }

    /** Returns and settles a team's loans; whether it holds any still. */
    private boolean lookAfter(String team, long returnBefore, long now, LimitActions out) {
        TeamAccount account = accounts.get(team);
        if (account == null) {
            return false;
        }
        account.returnExpiring(returnBefore, now);
        settle(team, account, out);
        return account.hasLoans();
    }

    /**
     * The ledger, for outcomes of its calls and for evidence of other entries. After each event
     * {@link #tick} makes it count.
     *
     * @return this entry's ledger
     */
    public ShareLedger ledger() {
        return ledger;
    }

    /**
     * Forgets teams that are gone.
     *
     * @param teams names of the teams there are
     */
    public void retainTeams(Set<String> teams) {
        accounts.keySet().retainAll(teams);
        desk.retainTeams(teams);
    }

    /**
     * This entry.
     *
     * @return its name and incarnation
     */
    public MemberId self() {
        return self;
    }

    /** Tokens of a team that could be spent here now. */
    double available(String team, long now) {
        TeamAccount account = accounts.get(team);
        return account == null ? 0 : account.available(now);
    }

    private void step(long now) {
        ledger.checkValidity(now);
        applyShare(now);
        steppedAt = now;
        stepped = true;
    }

    private void applyShare(long now) {
        if (!hasNewShare()) {
            return;
        }
        long fresh = ledger.pollFreshUnits();
        synchronized (opening) {
            units = ledger.usableUnits();
            double fraction = fraction(units);
            double freshFraction = fraction(fresh);
            history.add(fraction, freshFraction, now);
            accounts.values()
                    .forEach(account -> account.updateFraction(fraction, freshFraction, now));
        }
    }

    private boolean hasNewShare() {
        return ledger.usableUnits() != units || ledger.hasFreshUnits();
    }

    private static double fraction(long units) {
        return units / (double) Shares.TOTAL_UNITS;
    }

    private TeamAccount account(TeamPlan plan, long now) {
        TeamAccount held = accounts.get(plan.name());
        if (held != null) {
            return held;
        }
        synchronized (opening) {
            return accounts.computeIfAbsent(plan.name(), name -> history.openAccount(plan));
        }
    }

    private void balance(long now) {
        long interval = bounds.balanceInterval().toNanos();
        if (now - balanceAt < interval) {
            return;
        }
        double window = Math.min(now - balanceAt, 2 * interval) / NANOS_PER_SECOND;
        balanceAt = now;
        double net = 0;
        double rates = 0;
        for (TeamAccount account : accounts.values()) {
            net += account.pollNetLent();
            rates += account.isActive() ? account.ratePerSecond() : 0;
        }
        double part = rates > 0 ? net / rates / window : 0;
        boolean small = Math.abs(part) < bounds.balanceThreshold();
        ledger.updateDemand(small ? 0 : Math.round(-part / 2 * Shares.TOTAL_UNITS), now);
    }

    private void settle(String team, TeamAccount account, LimitActions out) {
        for (Settlement done : account.pollSettlements()) {
            out.lend(done.peer(), done.loanId(), team, done.unspentTokens(), 0);
        }
        noteDue(team, account);
    }

    /**
     * Names of the teams that have an account here.
     *
     * @return team names
     */
    public Set<String> teams() {
        return new HashSet<>(accounts.keySet());
    }
}
