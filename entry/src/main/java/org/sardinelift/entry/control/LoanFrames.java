package org.sardinelift.entry.control;

import org.sardinelift.protocol.generated.Borrow;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lend;

/**
 * Frames about loans of tokens. Parts of a token travel exactly; thousandths go with them for peers
 * that know nothing finer, rounded so that a loan is never more than its lender keeps back.
 */
final class LoanFrames {
    private static final double MILLI = 1_000;

    private LoanFrames() {}

    static Frame createBorrow(long exchange, String team, double tokens) {
        long milli = (long) Math.ceil(tokens * MILLI);
        return Frame.borrow(new Borrow(exchange, team, milli).setTokens(tokens));
    }

    static Frame createLend(long exchange, String team, double tokens, long ttlMs) {
        long milli = (long) Math.floor(tokens * MILLI);
        return Frame.lend(new Lend(exchange, team, milli, ttlMs).setTokens(tokens));
    }

    static double tokens(Borrow borrow) {
        return borrow.isSetTokens() ? sound(borrow.getTokens()) : borrow.getMilliTokens() / MILLI;
    }

    static double tokens(Lend lend) {
        return lend.isSetTokens() ? sound(lend.getTokens()) : lend.getMilliTokens() / MILLI;
    }

    /** No tokens where a number could not have been counted. */
    private static double sound(double tokens) {
        return Double.isFinite(tokens) ? Math.max(0, tokens) : 0;
    }
}
