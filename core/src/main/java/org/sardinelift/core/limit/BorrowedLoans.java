package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Tokens of one team that peers have lent, oldest loan first, and the settlements to be sent for
 * loans that are over. Times are nanoseconds. Not safe for use by several threads.
 */
final class BorrowedLoans {
    private static final double ROUNDING = 1e-9;

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

    /** Tokens on loan, expired ones included until {@link #dropExpired}. */
    double tokens() {
        double total = 0;
        for (BorrowedLoan loan : loans) {
            total += loan.tokens();
        }
        return total;
    }

    /** When the first loan expires, {@link Long#MAX_VALUE} where none is held. */
    long firstExpiry() {
        return loans.stream().mapToLong(BorrowedLoan::expiresNanos).min().orElse(Long.MAX_VALUE);
    }

    /** Spends the same part of each loan and returns the tokens spent. */
    double spend(double part) {
        double total = 0;
        for (int left = loans.size(); left > 0; left--) {
            BorrowedLoan loan = loans.poll();
            double spent = loan.tokens() * part;
            total += spent;
            if (loan.tokens() - spent > ROUNDING) {
                loans.add(loan.minus(spent));
            } else {
                settle(loan, 0);
            }
        }
        return total;
    }

    /** Gives back tokens beyond a number, the newest loan first. */
    void returnExcess(double keep) {
        double held = tokens();
        while (held > keep + ROUNDING) {
            BorrowedLoan loan = loans.pollLast();
            held -= loan.tokens();
            settle(loan, loan.tokens());
        }
    }

    /** Gives back what is left of loans that expire before a time. */
    void returnExpiring(long beforeNanos) {
        end(beforeNanos, BorrowedLoan::tokens);
    }

    /** Drops loans that have expired; nothing of them goes back. */
    void dropExpired(long nowNanos) {
        end(nowNanos + 1, loan -> 0);
    }

    private void end(long beforeNanos, ToDoubleFunction<BorrowedLoan> unspent) {
        Iterator<BorrowedLoan> each = loans.iterator();
        while (each.hasNext()) {
            BorrowedLoan loan = each.next();
            if (loan.expiresNanos() - beforeNanos < 0) {
                each.remove();
                settle(loan, unspent.applyAsDouble(loan));
            }
        }
    }

    /** Notes that a loan is over. */
    void settle(BorrowedLoan loan, double unspent) {
        settlements.add(new Settlement(loan.peer(), loan.loanId(), team, unspent));
    }

    boolean hasSettlements() {
        return !settlements.isEmpty();
    }

    /** Takes the settlements since the last call. */
    List<Settlement> pollSettlements() {
        if (settlements.isEmpty()) {
            return List.of();
        }
        List<Settlement> taken = List.copyOf(settlements);
        settlements.clear();
        return taken;
    }
}
