package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Tokens that one entry may spend for one team: a token bucket with this entry's fraction of the
 * team's rate and burst, reduced by what is lent, plus the tokens borrowed from peers.
 *
 * <p>Over the fleet, the tokens in buckets, on loan and in transit never exceed the burst, and all
 * buckets together fill at most at the rate, so that in every window of time t the fleet spends at
 * most burst + rate x t. To ensure this, a raise of the fraction adds no tokens; lent tokens leave
 * the bucket and reduce its capacity until they are returned or have certainly expired; and expired
 * loans are dropped before each use. Times are nanoseconds of a monotonic clock. Safe for use by
 * several threads.
 */
public final class TeamAccount {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MAX_WAIT_SECONDS = 3_600;
    private static final double ROUNDING_TOLERANCE = 1e-9;
    private static final int MAX_OPEN_LOANS = 256;
    private static final double LEVELLING_BURST_FRACTION = 1.0 / 16;

    private final BorrowedLoans borrowed;
    private final Map<LoanKey, LentLoan> lent = new HashMap<>();
    private double ratePerSecond;
    private double burst;
    private double fraction;
    private double level;
    private double lentTokens;
    private double overpaid;
    private double spentOfBorrowed;
    private double spentOfLent;
    private long admittedCount;
    private volatile boolean hasMessages;
    private boolean wasActive;
    private long filledAt;

    private TeamAccount(TeamPlan plan, double fraction, long sinceNanos) {
        this.borrowed = new BorrowedLoans(plan.name());
        this.ratePerSecond = plan.ratePerSecond();
        this.burst = plan.burst();
        this.fraction = fraction;
        this.filledAt = sinceNanos;
    }

    /**
     * Opens an account that is empty at the time from which this entry has had its fraction.
     *
     * @param plan the team's plan
     * @param fraction this entry's fraction of all limits
     * @param sinceNanos time from which the entry has had this fraction
     * @return the account
     */
    public static TeamAccount open(TeamPlan plan, double fraction, long sinceNanos) {
        return new TeamAccount(plan, fraction, sinceNanos);
    }

    /**
     * Sets a new fraction. A raise adds no tokens except those of units that no entry had before,
     * from which nothing was spent.
     *
     * @param newFraction this entry's fraction of all limits
     * @param freshFraction the part of it that no entry had before
     * @param nowNanos current time
     */
    public synchronized void updateFraction(
            double newFraction, double freshFraction, long nowNanos) {
        fill(nowNanos);
        fraction = newFraction;
        level = Math.min(level + burst * freshFraction, capacity());
    }

    /**
     * Applies changed values of the plan; a raise adds no tokens.
     *
     * @param plan the team's plan
     * @param nowNanos current time
     */
    public synchronized void updatePlan(TeamPlan plan, long nowNanos) {
        if (plan.ratePerSecond() != ratePerSecond || plan.burst() != burst) {
            fill(nowNanos);
            ratePerSecond = plan.ratePerSecond();
            burst = plan.burst();
            level = Math.min(level, capacity());
        }
    }

    /**
     * Acquires one token if there is one, from the bucket and from each loan in proportion to their
     * tokens. This keeps the buckets of all entries at the same level, so that none is full, and
     * stops filling, before the others.
     *
     * @param nowNanos current time
     * @return whether a token was acquired
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        double available = availableAt(nowNanos);
        if (available < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        double spentFraction = Math.min(1, 1 / available);
        double fromBucket = level * spentFraction;
        level -= fromBucket;
        overpaid = Math.max(-burst * fraction, overpaid + fromBucket - fraction);
        hasMessages = hasMessages || overpaid >= burst * LEVELLING_BURST_FRACTION;
        spentOfBorrowed += borrowed.spend(spentFraction);
        checkSettlements();
        admittedCount++;
        return true;
    }

    /**
     * Whether there is something to send to peers: a settlement, or a request for tokens because
     * the bucket paid more than its part.
     *
     * @return true until {@link #pollOverpaid} and {@link #pollSettlements} have been called
     */
    public boolean hasPendingMessages() {
        return hasMessages;
    }

    /**
     * Returns the time at which the first of the borrowed loans expires.
     *
     * @return the time, {@link Long#MAX_VALUE} if there is none
     */
    public synchronized long firstExpiryNanos() {
        return borrowed.firstExpiry();
    }

    /**
     * Returns how much more than its fraction this entry's bucket has paid of what this entry
     * spent, and resets it.
     *
     * @return tokens since the last call that returned some, 0 while they are too few to ask for
     */
    public synchronized double pollOverpaid() {
        if (overpaid < burst * LEVELLING_BURST_FRACTION) {
            return 0;
        }
        double polled = Math.min(overpaid, Math.max(0, capacity() - level));
        overpaid = 0;
        return polled;
    }

    /**
     * Moves tokens that a peer has lent into the bucket as far as it has room, and settles the loan
     * at once. The lender's capacity stays reduced until then, so the tokens are counted only once.
     *
     * @param peer the lender
     * @param loanId number of the loan
     * @param tokens number of tokens
     * @param expiresNanos time from which they may no longer be used
     * @param nowNanos current time
     */
    public synchronized void depositLoan(
            String peer, long loanId, double tokens, long expiresNanos, long nowNanos) {
        fill(nowNanos);
        double room = expiresNanos - nowNanos > 0 ? Math.max(0, capacity() - level) : 0;
        double deposited = Math.min(tokens, room);
        level += deposited;
        spentOfBorrowed += deposited;
        borrowed.settle(new BorrowedLoan(peer, loanId, tokens, expiresNanos), tokens - deposited);
        checkSettlements();
    }

    /**
     * Returns the tokens that may be spent now.
     *
     * @param nowNanos current time
     * @return tokens in the bucket and borrowed from peers
     */
    public synchronized double available(long nowNanos) {
        return availableAt(nowNanos);
    }

    /**
     * Lends tokens out of the bucket to a peer.
     *
     * @param peer the borrower
     * @param loanId number of the loan
     * @param tokens tokens requested
     * @param nowNanos current time
     * @param untilNanos time at which the loan has certainly expired
     * @return tokens lent, possibly 0
     */
    public synchronized double lend(
            String peer, long loanId, double tokens, long nowNanos, long untilNanos) {
        fill(nowNanos);
        double granted = Math.min(level, tokens);
        LoanKey key = new LoanKey(peer, loanId);
        if (granted <= ROUNDING_TOLERANCE
                || lent.size() >= MAX_OPEN_LOANS
                || lent.containsKey(key)) {
            return 0;
        }
        level -= granted;
        lentTokens += granted;
        lent.put(key, new LentLoan(granted, untilNanos));
        return granted;
    }

    /**
     * Handles the end of a loan at its borrower. Ignored if the loan has expired.
     *
     * @param peer the borrower
     * @param loanId number of the loan
     * @param tokens tokens that are returned unspent
     * @param nowNanos current time
     */
    public synchronized void onLoanReturned(
            String peer, long loanId, double tokens, long nowNanos) {
        fill(nowNanos);
        LentLoan loan = lent.remove(new LoanKey(peer, loanId));
        if (loan != null) {
            double unspent = Math.min(loan.tokens(), tokens);
            release(loan.tokens());
            spentOfLent += loan.tokens() - unspent;
            level = Math.min(capacity(), level + unspent);
        }
    }

    /**
     * Adds tokens that a peer has lent.
     *
     * @param peer the lender
     * @param loanId number of the loan
     * @param tokens number of tokens
     * @param expiresNanos time from which they may no longer be spent
     */
    public synchronized void addLoan(String peer, long loanId, double tokens, long expiresNanos) {
        borrowed.add(new BorrowedLoan(peer, loanId, tokens, expiresNanos));
    }

    /**
     * Returns borrowed tokens in excess of a number to their lenders, the newest first, and drops
     * expired ones.
     *
     * @param maxTokens number of tokens to keep
     * @param nowNanos current time
     */
    public synchronized void returnExcess(double maxTokens, long nowNanos) {
        borrowed.dropExpired(nowNanos);
        borrowed.returnExcess(maxTokens);
        checkSettlements();
    }

    /**
     * Returns the remaining tokens of loans that expire before a time to their lenders.
     *
     * @param beforeNanos that time
     * @param nowNanos current time
     */
    public synchronized void returnExpiring(long beforeNanos, long nowNanos) {
        borrowed.dropExpired(nowNanos);
        borrowed.returnExpiring(beforeNanos);
        checkSettlements();
    }

    /**
     * Whether there are borrowed tokens or unsent settlements.
     *
     * @return true if there are any
     */
    public synchronized boolean hasLoans() {
        return !borrowed.isEmpty() || borrowed.hasSettlements();
    }

    /**
     * Removes and returns the settlements to be sent to lenders.
     *
     * @return settlements since the last call
     */
    public synchronized List<Settlement> pollSettlements() {
        hasMessages = overpaid >= burst * LEVELLING_BURST_FRACTION;
        return borrowed.pollSettlements();
    }

    /**
     * Returns how many more tokens peers spent of what this entry lent them than it spent of
     * theirs, and resets it.
     *
     * @return tokens since the last call, negative for a net borrower
     */
    public synchronized double pollNetLent() {
        double net = spentOfLent - spentOfBorrowed;
        wasActive = admittedCount > 0 || spentOfLent > 0;
        admittedCount = 0;
        spentOfLent = 0;
        spentOfBorrowed = 0;
        return net;
    }

    /**
     * Whether requests of the team were served by this entry, or from tokens that it lent, in the
     * period that the last call of {@link #pollNetLent} covered.
     *
     * @return true if the team was active
     */
    public synchronized boolean isActive() {
        return wasActive;
    }

    /**
     * Returns the team's rate over the whole fleet.
     *
     * @return requests per second
     */
    public synchronized double ratePerSecond() {
        return ratePerSecond;
    }

    /**
     * Returns the time until the fleet has a whole token, assuming that it has no tokens but those
     * available at this entry. While it has less than one token, the buckets that are full and so
     * don't fill have at most 1 / burst of all shares; after burst / rate every bucket is full.
     *
     * @param reachable fraction of all limits that this entry and its peers have
     * @param nowNanos current time
     * @return nanoseconds, at most an hour
     */
    public synchronized long nanosUntilToken(double reachable, long nowNanos) {
        double missingTokens = Math.max(0, 1 - availableAt(nowNanos));
        double fillRate = ratePerSecond * (reachable - 1 / burst);
        double secondsToFill = burst / ratePerSecond;
        double seconds =
                fillRate > 0 ? Math.min(missingTokens / fillRate, secondsToFill) : secondsToFill;
        return (long) Math.ceil(Math.min(MAX_WAIT_SECONDS, seconds) * NANOS_PER_SECOND);
    }

    private double availableAt(long nowNanos) {
        fill(nowNanos);
        borrowed.dropExpired(nowNanos);
        checkSettlements();
        return level + borrowed.tokens();
    }

    private void checkSettlements() {
        hasMessages = hasMessages || borrowed.hasSettlements();
    }

    private void fill(long nowNanos) {
        long elapsed = nowNanos - filledAt;
        if (elapsed > 0) {
            double added = elapsed / NANOS_PER_SECOND * ratePerSecond * fraction;
            level = Math.min(capacity(), level + added);
            filledAt = nowNanos;
        }
        if (!lent.isEmpty()) {
            releaseExpired(nowNanos);
        }
    }

    private void releaseExpired(long nowNanos) {
        Iterator<LentLoan> loans = lent.values().iterator();
        while (loans.hasNext()) {
            LentLoan loan = loans.next();
            if (loan.expiresNanos() - nowNanos <= 0) {
                loans.remove();
                release(loan.tokens());
                spentOfLent += loan.tokens();
            }
        }
    }

    private void release(double tokens) {
        lentTokens = lent.isEmpty() ? 0 : lentTokens - tokens;
    }

    private double capacity() {
        return Math.max(0, burst * fraction - lentTokens);
    }

    private record LoanKey(String peer, long loanId) {}
}
