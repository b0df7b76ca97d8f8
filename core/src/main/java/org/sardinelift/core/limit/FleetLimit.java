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
 * Rate limits of all teams at one entry: this entry's share of the limits, an account for each
 * team, and loans between entries.
 *
 * <p>{@link #tryAdmit}, which uses only tokens that this entry has, and {@link #hasPendingMessages}
 * may be called by any thread. All other methods must be called by one thread. Times are
 * nanoseconds of a monotonic clock.
 */
public final class FleetLimit {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_TICK_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;
    private static final int TICKS_PER_PAUSE_BOUND = 8;

    private final MemberId self;
    private final LimitBounds bounds;
    private final ShareLedger ledger;
    private final TokenBorrower borrower;
    private final Map<String, TeamAccount> accounts = new ConcurrentHashMap<>();
    private final Set<String> teamsWithLoans = new HashSet<>();
    private final Set<String> teamsWithMessages = ConcurrentHashMap.newKeySet();
    private long loanReturnAt = Long.MAX_VALUE;
    private long tickedAt;
    private boolean hasTicked;
    private final Object historyLock = new Object();
    private Set<String> connected = Set.of();
    private final ShareHistory history = new ShareHistory();
    private long appliedUnits;
    private long balancedAt;
    private volatile long shareCheckedAt;
    private volatile boolean isShareChecked;

    private FleetLimit(MemberId self, LimitBounds bounds, RandomGenerator random) {
        this.self = self;
        this.bounds = bounds;
        this.ledger = ShareLedger.create(self, bounds, random);
        this.borrower =
                new TokenBorrower(
                        self.instance(),
                        bounds,
                        random,
                        () -> fraction(ledger.reachableUnits(connected)));
    }

    /**
     * Creates the limits of a new incarnation of an entry, which has no share yet.
     *
     * @param self this entry
     * @param bounds intervals and bounds
     * @param random source of jitter and of the order of peers
     * @return the limits
     */
    public static FleetLimit create(MemberId self, LimitBounds bounds, RandomGenerator random) {
        return new FleetLimit(self, bounds, random);
    }

    /**
     * Admits a request if this entry has a token for it. Safe for use by any thread.
     *
     * @param plan the team's plan
     * @param now current time
     * @return whether it was admitted; if not, {@link #admit} decides
     */
    public boolean tryAdmit(TeamPlan plan, long now) {
        boolean isPaused = !isShareChecked || now - shareCheckedAt > bounds.pauseBound().toNanos();
        if (isPaused) {
            return false;
        }
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        boolean isAdmitted = account.tryAcquire(now);
        recordPendingMessages(plan.name(), account);
        return isAdmitted;
    }

    private void recordPendingMessages(String team, @Nullable TeamAccount account) {
        if (account != null && account.hasPendingMessages()) {
            teamsWithMessages.add(team);
        }
    }

    /**
     * Whether messages to peers are waiting to be sent. Safe for use by any thread.
     *
     * @return true until the next {@link #tick} sends them
     */
    public boolean hasPendingMessages() {
        return !teamsWithMessages.isEmpty();
    }

    /**
     * Returns the latest time for the next call of {@link #tick}, unless an event comes before.
     *
     * @param now current time
     * @return that time, or one that has passed
     */
    public long nextTickAt(long now) {
        if (!hasTicked) {
            return now;
        }
        long soonest = tickedAt + MIN_TICK_INTERVAL_NANOS;
        if (hasPendingMessages() || !borrower.waitingTeams().isEmpty() || hasNewShare()) {
            return soonest;
        }
        long latest = tickedAt + bounds.pauseBound().toNanos() / TICKS_PER_PAUSE_BOUND;
        long nextBalance = balancedAt + bounds.balanceInterval().toNanos();
        long ownWork = Math.min(Math.min(latest, nextBalance), loanReturnAt);
        return Math.max(soonest, Math.min(ownWork, ledger.dueAt(now)));
    }

    /**
     * Admits a request from this entry's tokens or, if it lacks them, from tokens borrowed from
     * peers.
     *
     * @param plan the team's plan
     * @param requestId number of the request, repeated in the answer
     * @param now current time
     * @param out receives the answer, now or later, and messages to peers
     */
    public void admit(TeamPlan plan, long requestId, long now, LimitActions out) {
        checkShare(now);
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        if (account.tryAcquire(now)) {
            out.answer(requestId, new Admission.Admitted());
        } else {
            borrower.submit(plan.name(), account, requestId, now, out);
        }
        settle(plan.name(), account, out);
    }

    /**
     * Handles a peer's request for tokens.
     *
     * @param peer name of the peer
     * @param loanId number of the loan
     * @param plan the team's plan
     * @param tokens tokens requested
     * @param now current time
     * @param out receives the answer
     */
    public void onBorrow(
            String peer, long loanId, TeamPlan plan, double tokens, long now, LimitActions out) {
        checkShare(now);
        long ttl = bounds.loanTtl().toNanos();
        long until = now + ttl + bounds.loanMargin().toNanos();
        TeamAccount account = account(plan, now);
        account.updatePlan(plan, now);
        double lent =
                borrower.hasPriorityOver(plan.name(), peer)
                        ? 0
                        : account.lend(peer, loanId, tokens, now, until);
        out.lend(peer, loanId, plan.name(), lent, ttl / NANOS_PER_MILLI);
    }

    /**
     * Handles a peer's answer to a request for tokens, or its settlement of a loan.
     *
     * @param peer name of the peer
     * @param loanId number of the loan
     * @param team the team
     * @param tokens tokens lent or returned
     * @param ttlMs 0 for a settlement by the borrower; otherwise the time for which the tokens may
     *     be spent, counted from the sending of the request, milliseconds
     * @param now current time
     * @param out receives answers and messages
     */
    public void onLend(
            String peer,
            long loanId,
            String team,
            double tokens,
            long ttlMs,
            long now,
            LimitActions out) {
        checkShare(now);
        TeamAccount account = accounts.get(team);
        if (account == null) {
            return;
        }
        if (ttlMs == 0) {
            account.onLoanReturned(peer, loanId, tokens, now);
        } else {
            teamsWithLoans.add(team);
            borrower.onLend(peer, loanId, account, tokens, ttlMs * NANOS_PER_MILLI, now, out);
            settle(team, account, out);
            loanReturnAt = Math.min(loanReturnAt, loanReturnAt(account));
        }
    }

    /**
     * Handles a change of the set of connected peers.
     *
     * @param peers names of the peers with an open connection
     */
    public void onConnected(Set<String> peers) {
        connected.stream().filter(peer -> !peers.contains(peer)).forEach(ledger::onPeerDown);
        connected = Set.copyOf(peers);
        ledger.onConnected(connected);
        borrower.onConnected(peers.stream().sorted().toList());
    }

    /**
     * Does the work that is due: calls to the platform, timeouts of waiting requests, returns of
     * loans and balancing of the shares.
     *
     * @param now current time
     * @param out receives calls, answers and messages
     */
    public void tick(long now, LimitActions out) {
        tickedAt = now;
        hasTicked = true;
        checkShare(now);
        balanceShare(now);
        ledger.tick(now).ifPresent(out::callPlatform);
        applyShare(now);
        List<String> waitingTeams = borrower.waitingTeams();
        borrower.tick(accounts, now, out);
        waitingTeams.forEach(team -> recordPendingMessages(team, accounts.get(team)));
        List.copyOf(teamsWithMessages).forEach(team -> sendPendingMessages(team, now, out));
        long returnBefore = now + loanReturnLead();
        teamsWithLoans.removeIf(team -> !returnLoans(team, returnBefore, now, out));
        loanReturnAt =
                teamsWithLoans.stream()
                        .mapToLong(team -> loanReturnAt(accounts.get(team)))
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    private void sendPendingMessages(String team, long now, LimitActions out) {
        teamsWithMessages.remove(team);
        TeamAccount account = accounts.get(team);
        if (account != null) {
            borrower.borrowOverpaid(team, account, ledger::unitsOf, now, out);
            settle(team, account, out);
        }
    }

    private long loanReturnLead() {
        return bounds.loanTtl().toNanos() / 2;
    }

    /** Time at which the first loan of an account is to be returned. */
    private long loanReturnAt(TeamAccount account) {
        long expiry = account.firstExpiryNanos();
        return expiry == Long.MAX_VALUE ? expiry : expiry - loanReturnLead() + 1;
    }

    /** Returns and settles a team's loans that expire soon; returns whether it has any left. */
    private boolean returnLoans(String team, long returnBefore, long now, LimitActions out) {
        TeamAccount account = accounts.get(team);
        if (account == null) {
            return false;
        }
        account.returnExpiring(returnBefore, now);
        settle(team, account, out);
        return account.hasLoans();
    }

    /**
     * Returns the ledger, which must be notified of the outcomes of its calls and of contact with
     * other entries. Such an event takes effect at the next {@link #tick}.
     *
     * @return the ledger of this entry
     */
    public ShareLedger ledger() {
        return ledger;
    }

    /**
     * Removes the accounts of teams that no longer exist.
     *
     * @param teams names of the existing teams
     */
    public void retainTeams(Set<String> teams) {
        accounts.keySet().retainAll(teams);
        borrower.retainTeams(teams);
    }

    /**
     * Returns the identity of this entry.
     *
     * @return its name and incarnation
     */
    public MemberId self() {
        return self;
    }

    /** Tokens of a team that this entry could spend now. */
    double available(String team, long now) {
        TeamAccount account = accounts.get(team);
        return account == null ? 0 : account.available(now);
    }

    private void checkShare(long now) {
        ledger.checkValidity(now);
        applyShare(now);
        shareCheckedAt = now;
        isShareChecked = true;
    }

    private void applyShare(long now) {
        if (!hasNewShare()) {
            return;
        }
        long fresh = ledger.pollFreshUnits();
        synchronized (historyLock) {
            appliedUnits = ledger.usableUnits();
            double fraction = fraction(appliedUnits);
            double freshFraction = fraction(fresh);
            history.add(fraction, freshFraction, now);
            accounts.values()
                    .forEach(account -> account.updateFraction(fraction, freshFraction, now));
        }
    }

    private boolean hasNewShare() {
        return ledger.usableUnits() != appliedUnits || ledger.hasFreshUnits();
    }

    private static double fraction(long units) {
        return units / (double) Shares.TOTAL_UNITS;
    }

    private TeamAccount account(TeamPlan plan, long now) {
        TeamAccount existing = accounts.get(plan.name());
        if (existing != null) {
            return existing;
        }
        synchronized (historyLock) {
            return accounts.computeIfAbsent(plan.name(), name -> history.openAccount(plan));
        }
    }

    private void balanceShare(long now) {
        long interval = bounds.balanceInterval().toNanos();
        if (now - balancedAt < interval) {
            return;
        }
        double window = Math.min(now - balancedAt, 2 * interval) / NANOS_PER_SECOND;
        balancedAt = now;
        double net = 0;
        double rates = 0;
        for (TeamAccount account : accounts.values()) {
            net += account.pollNetLent();
            rates += account.isActive() ? account.ratePerSecond() : 0;
        }
        double netFraction = rates > 0 ? net / rates / window : 0;
        boolean isBelowThreshold = Math.abs(netFraction) < bounds.balanceThreshold();
        ledger.updateDemand(
                isBelowThreshold ? 0 : Math.round(-netFraction / 2 * Shares.TOTAL_UNITS), now);
    }

    private void settle(String team, TeamAccount account, LimitActions out) {
        for (Settlement settlement : account.pollSettlements()) {
            out.lend(settlement.peer(), settlement.loanId(), team, settlement.unspentTokens(), 0);
        }
        recordPendingMessages(team, account);
    }

    /**
     * Returns the teams that have an account at this entry.
     *
     * @return names of the teams
     */
    public Set<String> teams() {
        return new HashSet<>(accounts.keySet());
    }
}
