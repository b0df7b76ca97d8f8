package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Loans of one team's tokens from peers, oldest first, and the settlements to be sent for ended
 * loans. Times are nanoseconds. Not safe for use by several threads.
 */
final class BorrowedLoans {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final String team;
    private final Deque<BorrowedLoan> loans = new ArrayDeque<>();
    private final List<Settlement> settlements = new ArrayList<>();

    BorrowedLoans(String team) {
        this.team = team;
    }

    void add(BorrowedLoan loan) {
        loans.add(loan);
    }

    boolean isEmpty() {
        return loans.isEmpty();
    }

    /** Borrowed tokens; expired ones count until {@link #dropExpired} is called. */
    double tokens() {
        double total = 0;
        for (BorrowedLoan loan : loans) {
            total += loan.tokens();
        }
        return total;
    }

    /** Time at which the first loan expires, {@link Long#MAX_VALUE} if there is none. */
    long firstExpiry() {
        return loans.stream().mapToLong(BorrowedLoan::expiresNanos).min().orElse(Long.MAX_VALUE);
    }

    /** Spends the same part of each loan and returns the tokens spent. */
    double spend(double part) {
        double total = 0;
        for (int remaining = loans.size(); remaining > 0; remaining--) {
            BorrowedLoan loan = loans.poll();
            double spent = loan.tokens() * part;
            total += spent;
            if (loan.tokens() - spent > ROUNDING_TOLERANCE) {
                loans.add(loan.minus(spent));
            } else {
                settle(loan, 0);
            }
        }
        return total;
    }

    /** Returns tokens in excess of a number to their lenders, the newest loan first. */
    void returnExcess(double maxTokens) {
        double borrowedTokens = tokens();
        while (borrowedTokens > maxTokens + ROUNDING_TOLERANCE) {
            BorrowedLoan loan = loans.pollLast();
            borrowedTokens -= loan.tokens();
            settle(loan, loan.tokens());
        }
    }

    /** Returns the remaining tokens of loans that expire before a time to their lenders. */
    void returnExpiring(long beforeNanos) {
        removeExpiringBefore(beforeNanos, BorrowedLoan::tokens);
    }

    /** Drops expired loans; none of their tokens is returned. */
    void dropExpired(long nowNanos) {
        removeExpiringBefore(nowNanos + 1, loan -> 0);
    }

    private void removeExpiringBefore(long beforeNanos, ToDoubleFunction<BorrowedLoan> unspent) {
        Iterator<BorrowedLoan> iterator = loans.iterator();
        while (iterator.hasNext()) {
            BorrowedLoan loan = iterator.next();
            if (loan.expiresNanos() - beforeNanos < 0) {
                iterator.remove();
                settle(loan, unspent.applyAsDouble(loan));
            }
        }
    }

    /** Records the settlement of an ended loan. */
    void settle(BorrowedLoan loan, double unspent) {
        settlements.add(new Settlement(loan.peer(), loan.loanId(), team, unspent));
    }

    boolean hasSettlements() {
        return !settlements.isEmpty();
    }

    /** Removes and returns the settlements since the last call. */
    List<Settlement> pollSettlements() {
        if (settlements.isEmpty()) {
            return List.of();
        }
        List<Settlement> polled = List.copyOf(settlements);
        settlements.clear();
        return polled;
    }
}
