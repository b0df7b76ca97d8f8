package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Guards against tokens that are counted twice, and so spent beyond the rate and burst, when they
 * are lent, returned or deposited, or when fractions move between entries.
 */
class TeamAccountTest {
    private static final long SECOND = 1_000_000_000;
    private static final long TTL = SECOND;
    private static final long LOAN_LIFETIME = TTL + SECOND / 5;
    private static final TeamPlan PLAN = new TeamPlan("t", 10, 20, Set.of(), Set.of(), 1, 1);

    /** A loan in transit between two of the accounts. */
    private record Loan(int from, int to, long loanId, long askedAt, double tokens) {}

    @Property(seed = "61", tries = 300)
    void tokensNeverExceedTheBurstNorSpendingTheRate(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[] fractions = {0.5, 0.3, 0.2};
        List<TeamAccount> accounts = new ArrayList<>();
        for (double fraction : fractions) {
            accounts.add(TeamAccount.open(PLAN, fraction, 0));
        }
        List<Loan> inTransit = new ArrayList<>();
        TokenBucket meter = new TokenBucket();
        long now = 0;
        long noMoveBefore = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(SECOND / 4);
            TeamAccount account = accounts.get(random.nextInt(3));
            switch (random.nextInt(5)) {
                case 0 -> {
                    while (account.tryAcquire(now)) {
                        meter.refill(PLAN.ratePerSecond(), PLAN.burst(), now);
                        assertTrue(meter.tryAcquire(), "over the rate and burst");
                    }
                }
                case 1 -> {
                    int from = random.nextInt(3);
                    int to = (from + 1 + random.nextInt(2)) % 3;
                    double tokens =
                            accounts.get(from).lend("e" + to, step, 8, now, now + LOAN_LIFETIME);
                    inTransit.add(new Loan(from, to, step, now - SECOND / 100, tokens));
                    noMoveBefore = now + LOAN_LIFETIME;
                }
                case 2 -> deliver(accounts, inTransit, now, random.nextBoolean());
                case 3 -> {
                    account.returnExcess(random.nextDouble() * 3, now);
                    settle(accounts, now);
                }
                default -> {
                    if (now > noMoveBefore) {
                        moveFraction(accounts, fractions, random.nextInt(3), now);
                    }
                }
            }
            assertTrue(total(accounts, inTransit, now) <= PLAN.burst() + 1e-6);
        }
    }

    @Test
    void borrowedTokenIsNotSpentAfterItsExpiry() {
        TeamAccount account = TeamAccount.open(PLAN, 0, 0);
        account.addLoan("e2", 1, 1, TTL);
        assertEquals(false, account.tryAcquire(TTL));
        assertEquals(List.of(new Settlement("e2", 1, "t", 0)), account.pollSettlements());
    }

    @Test
    void tokenIsAcquiredFromBucketAndLoansInProportion() {
        TeamAccount account = TeamAccount.open(PLAN, 0.1, -100 * SECOND);
        account.addLoan("e2", 1, 2, TTL);
        assertTrue(account.tryAcquire(0));
        account.returnExcess(0, 0);
        assertEquals(List.of(new Settlement("e2", 1, "t", 1.5)), account.pollSettlements());
        assertEquals(1.5, account.available(0), 1e-9);
    }

    @Test
    void loanIsDepositedAsFarAsTheBucketHasRoomAndTheRestIsReturned() {
        TeamAccount account = TeamAccount.open(PLAN, 0.1, 0);
        account.depositLoan("e2", 1, 3, TTL, 0);
        assertEquals(List.of(new Settlement("e2", 1, "t", 1)), account.pollSettlements());
        assertEquals(2, account.available(2 * TTL), 1e-9);
    }

    @Test
    void expiredLoanIsNotDeposited() {
        TeamAccount account = TeamAccount.open(PLAN, 0.1, TTL);
        account.depositLoan("e2", 1, 1, TTL, TTL);
        assertEquals(0, account.available(TTL), 1e-9);
    }

    @Test
    void raiseOfTheFractionAddsNoTokens() {
        TeamAccount account = TeamAccount.open(PLAN, 0.1, 0);
        account.updateFraction(1, 0, 100 * SECOND);
        assertEquals(2, account.available(100 * SECOND), 1e-9);
    }

    @Test
    void raiseByUnitsNeverUsedAddsOnlyTheirTokens() {
        TeamAccount account = TeamAccount.open(PLAN, 0.1, 0);
        account.updateFraction(0.6, 0.5, 100 * SECOND);
        assertEquals(12, account.available(100 * SECOND), 1e-9);
        account.updateFraction(0.4, 0.4, 100 * SECOND);
        assertEquals(8, account.available(100 * SECOND), 1e-9);
    }

    private static void deliver(
            List<TeamAccount> accounts, List<Loan> inTransit, long now, boolean isDeposit) {
        for (Loan loan : inTransit) {
            TeamAccount account = accounts.get(loan.to());
            String peer = "e" + loan.from();
            long expires = loan.askedAt() + TTL;
            if (loan.tokens() > 0 && isDeposit) {
                account.depositLoan(peer, loan.loanId(), loan.tokens(), expires, now);
            } else if (loan.tokens() > 0) {
                account.addLoan(peer, loan.loanId(), loan.tokens(), expires);
            }
        }
        inTransit.clear();
    }

    private static void settle(List<TeamAccount> accounts, long now) {
        for (int i = 0; i < accounts.size(); i++) {
            for (Settlement settlement : accounts.get(i).pollSettlements()) {
                int lender = Integer.parseInt(settlement.peer().substring(1));
                accounts.get(lender)
                        .onLoanReturned(
                                "e" + i, settlement.loanId(), settlement.unspentTokens(), now);
            }
        }
    }

    /** Moves half of the fraction of one account to the next; all loans have expired. */
    private static void moveFraction(
            List<TeamAccount> accounts, double[] fractions, int from, long now) {
        int to = (from + 1) % 3;
        double fraction = fractions[from] / 2;
        fractions[from] -= fraction;
        fractions[to] += fraction;
        accounts.get(from).updateFraction(fractions[from], 0, now);
        accounts.get(to).updateFraction(fractions[to], 0, now);
    }

    private static double total(List<TeamAccount> accounts, List<Loan> inTransit, long now) {
        double available = accounts.stream().mapToDouble(account -> account.available(now)).sum();
        double inTransitTokens =
                inTransit.stream()
                        .filter(loan -> now < loan.askedAt() + TTL)
                        .mapToDouble(Loan::tokens)
                        .sum();
        return available + inTransitTokens;
    }
}
