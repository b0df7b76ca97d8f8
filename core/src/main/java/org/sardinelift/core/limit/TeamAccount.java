package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * What one entry may spend for one team: a token bucket with this entry's fraction of the team's
 * rate and burst, less what is lent, and the tokens borrowed from peers.
 *
 * <p>Over the fleet the tokens in buckets, on loan and under way never exceed the burst, and all
 * buckets together fill at the rate at most, so that in every window of time t the fleet spends at
 * most burst + rate x t. To that end a raise of the fraction adds no tokens; lent tokens leave the
 * bucket and lower its capacity until they are returned or have certainly expired; and expired
 * loans are dropped at the moment of use. Times are nanoseconds of a monotonic clock. Safe for use
 * by several threads.
 */
public final class TeamAccount {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LONGEST_WAIT_SECONDS = 3_600;
    private static final double ROUNDING = 1e-9;
    private static final int MAX_LOANS_OUT = 256;
    private static final double LEVELLING_FRACTION = 1.0 / 16;

    private final BorrowedLoans addLoan;
    private final Map<LoanKey, LentLoan> lent = new HashMap<>();
    private double ratePerSecond;
    private double burst;
    private double fraction;
    private double level;
    private double reserved;
    private double overpaid;
    private double spentOfLoans;
    private double lentAndSpent;
    private long admitted;
    private volatile boolean due;
    private boolean active;
    private long filledAt;

    private TeamAccount(TeamPlan plan, double fraction, long sinceNanos) {
        this.addLoan = new BorrowedLoans(plan.name());
        this.ratePerSecond = plan.ratePerSecond();
        this.burst = plan.burst();
        this.fraction = fraction;
        this.filledAt = sinceNanos;
    }

    /**
     * Opens an account, empty at the time since which this entry has held its fraction.
     *
     * @param plan the team's plan
     * @param fraction this entry's fraction of all limits
     * @param sinceNanos when the entry came to hold this fraction
     * @return the account
     */
    public static TeamAccount open(TeamPlan plan, double fraction, long sinceNanos) {
        return new TeamAccount(plan, fraction, sinceNanos);
    }

    /**
     * Takes over another fraction. A raise adds no tokens but those of units that no entry had held
     * before, from which nothing was spent.
     *
     * @param newFraction this entry's fraction of all limits
     * @param freshFraction the part of it that no entry had held before
     * @param nowNanos the time
     */
    public synchronized void updateFraction(
            double newFraction, double freshFraction, long nowNanos) {
        fill(nowNanos);
        fraction = newFraction;
        level = Math.min(level + burst * freshFraction, capacity());
    }

    /**
     * Takes over changed values of the plan; a raise adds no tokens.
     *
     * @param plan the team's plan
     * @param nowNanos the time
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
     * Takes one token if there is one, from the bucket and from each loan in proportion to what
     * they hold, so that the buckets of all entries keep the same level and none is full, and stops
     * filling, before the others.
     *
     * @param nowNanos the time
     * @return whether a token was taken
     */
    public synchronized boolean tryAcquire(long nowNanos) {
        double there = availableAt(nowNanos);
        if (there < 1 - ROUNDING) {
            return false;
        }
        double part = Math.min(1, 1 / there);
        double own = level * part;
        level -= own;
        overpaid = Math.max(-burst * fraction, overpaid + own - fraction);
        due = due || overpaid >= burst * LEVELLING_FRACTION;
        spentOfLoans += addLoan.spend(part);
        noteSettlements();
        admitted++;
        return true;
    }

    /**
     * Whether there is something to send to peers: a settlement, or word that the bucket paid more
     * than its part.
     *
     * @return true until {@link #pollOverpaid} and {@link #pollSettlements} have been called
     */
    public boolean hasPendingMessages() {
        return due;
    }

    /**
     * When the first of the loans held expires.
     *
     * @return the time, {@link Long#MAX_VALUE} where none is held
     */
    public synchronized long firstExpiryNanos() {
        return addLoan.firstExpiry();
    }

    /**
     * Takes how much more than its fraction this entry's bucket has paid of what was spent here.
     *
     * @return tokens since the last call that returned some, 0 while they aren't worth asking for
     */
    public synchronized double pollOverpaid() {
        if (overpaid < burst * LEVELLING_FRACTION) {
            return 0;
        }
        double taken = Math.min(overpaid, Math.max(0, capacity() - level));
        overpaid = 0;
        return taken;
    }

    /**
     * Moves tokens that a peer has lent into the bucket as far as it has room, and settles the loan
     * at once. The lender keeps capacity back until then, so that the tokens are counted once.
     *
     * @param peer the lender
     * @param exchange number of the loan
     * @param tokens tokens
     * @param expiresNanos when they may no longer be used
     * @param nowNanos the time
     */
    public synchronized void depositLoan(
            String peer, long exchange, double tokens, long expiresNanos, long nowNanos) {
        fill(nowNanos);
        double room = expiresNanos - nowNanos > 0 ? Math.max(0, capacity() - level) : 0;
        double moved = Math.min(tokens, room);
        level += moved;
        spentOfLoans += moved;
        addLoan.settle(new BorrowedLoan(peer, exchange, tokens, expiresNanos), tokens - moved);
        noteSettlements();
    }

    /**
     * Tokens that may be spent now.
     *
     * @param nowNanos the time
     * @return tokens in the bucket and on loan from peers
     */
    public synchronized double available(long nowNanos) {
        return availableAt(nowNanos);
    }

    /**
     * Lends tokens out of the bucket to a peer.
     *
     * @param peer the borrower
     * @param exchange number of the loan
     * @param tokens tokens asked for
     * @param nowNanos the time
     * @param untilNanos when the loan has certainly expired
     * @return tokens lent, 0 for none
     */
    public synchronized double lend(
            String peer, long exchange, double tokens, long nowNanos, long untilNanos) {
        fill(nowNanos);
        double part = Math.min(level, tokens);
        LoanKey key = new LoanKey(peer, exchange);
        if (part <= ROUNDING || lent.size() >= MAX_LOANS_OUT || lent.containsKey(key)) {
            return 0;
        }
        level -= part;
        reserved += part;
        lent.put(key, new LentLoan(part, untilNanos));
        return part;
    }

    /**
     * A borrower holds nothing of a loan any more. Word on a loan that has expired is ignored.
     *
     * @param peer the borrower
     * @param exchange number of the loan
     * @param tokens tokens that come back unspent
     * @param nowNanos the time
     */
    public synchronized void onLoanReturned(
            String peer, long exchange, double tokens, long nowNanos) {
        fill(nowNanos);
        LentLoan loan = lent.remove(new LoanKey(peer, exchange));
        if (loan != null) {
            double back = Math.min(loan.tokens(), tokens);
            release(loan.tokens());
            lentAndSpent += loan.tokens() - back;
            level = Math.min(capacity(), level + back);
        }
    }

    /**
     * Takes in tokens that a peer has lent.
     *
     * @param peer the lender
     * @param exchange number of the loan
     * @param tokens tokens
     * @param expiresNanos when they may no longer be spent
     */
    public synchronized void addLoan(String peer, long exchange, double tokens, long expiresNanos) {
        addLoan.add(new BorrowedLoan(peer, exchange, tokens, expiresNanos));
    }

    /**
     * Gives back borrowed tokens beyond a number, the newest first, and drops expired ones.
     *
     * @param keep tokens to keep
     * @param nowNanos the time
     */
    public synchronized void returnExcess(double keep, long nowNanos) {
        addLoan.dropExpired(nowNanos);
        addLoan.returnExcess(keep);
        noteSettlements();
    }

    /**
     * Gives back what is left of loans that expire before a time.
     *
     * @param beforeNanos that time
     * @param nowNanos the time now
     */
    public synchronized void returnExpiring(long beforeNanos, long nowNanos) {
        addLoan.dropExpired(nowNanos);
        addLoan.returnExpiring(beforeNanos);
        noteSettlements();
    }

    /**
     * Whether borrowed tokens or settlements are held.
     *
     * @return true while there is something to look after
     */
    public synchronized boolean hasLoans() {
        return !addLoan.isEmpty() || addLoan.hasSettlements();
    }

    /**
     * Takes the settlements that are to be sent to lenders.
     *
     * @return settlements since the last call
     */
    public synchronized List<Settlement> pollSettlements() {
        due = overpaid >= burst * LEVELLING_FRACTION;
        return addLoan.pollSettlements();
    }

    /**
     * How many more tokens peers spent of what this entry lent them than it spent of theirs.
     *
     * @return tokens since the last call, negative for a net borrower
     */
    public synchronized double pollNetLent() {
        double net = lentAndSpent - spentOfLoans;
        active = admitted > 0 || lentAndSpent > 0;
        admitted = 0;
        lentAndSpent = 0;
        spentOfLoans = 0;
        return net;
    }

    /**
     * Whether the team was served from here, or from what was lent, in the time that the last call
     * of {@link #pollNetLent} covered.
     *
     * @return true where the team was active
     */
    public synchronized boolean isActive() {
        return active;
    }

    /**
     * The rate over the whole fleet.
     *
     * @return requests a second
     */
    public synchronized double ratePerSecond() {
        return ratePerSecond;
    }

    /**
     * Time until the fleet holds a whole token, if what is available here is all that it holds.
     * While it holds less than one, full buckets that stop filling hold at most one part in burst
     * of all shares; and after burst over rate every bucket is full.
     *
     * @param reachable fraction of all limits that this entry and its peers hold
     * @param nowNanos the time
     * @return nanoseconds, at most an hour
     */
    public synchronized long nanosUntilToken(double reachable, long nowNanos) {
        double missing = Math.max(0, 1 - availableAt(nowNanos));
        double filling = ratePerSecond * (reachable - 1 / burst);
        double toFill = burst / ratePerSecond;
        double seconds = filling > 0 ? Math.min(missing / filling, toFill) : toFill;
        return (long) Math.ceil(Math.min(LONGEST_WAIT_SECONDS, seconds) * NANOS_PER_SECOND);
    }

    private double availableAt(long nowNanos) {
        fill(nowNanos);
        addLoan.dropExpired(nowNanos);
        noteSettlements();
        return level + addLoan.tokens();
    }

    private void noteSettlements() {
        due = due || addLoan.hasSettlements();
    }

    private void fill(long nowNanos) {
        long elapsed = nowNanos - filledAt;
        if (elapsed > 0) {
            double gain = elapsed / NANOS_PER_SECOND * ratePerSecond * fraction;
            level = Math.min(capacity(), level + gain);
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
                lentAndSpent += loan.tokens();
            }
        }
    }

    private void release(double tokens) {
        reserved = lent.isEmpty() ? 0 : reserved - tokens;
    }

    private double capacity() {
        return Math.max(0, burst * fraction - reserved);
    }

    private record LoanKey(String peer, long exchange) {}
}
