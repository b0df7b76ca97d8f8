package org.sardinelift.entry.control;

import org.sardinelift.protocol.generated.Borrow;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lend;

/**
 * Builds and reads the frames of token loans. Fractions of a token are sent exactly, along with
 * thousandths for peers that know nothing finer. The thousandths are rounded so that a loan is
 * never more than its lender has deducted.
 */
final class LoanFrames {
    private static final double MILLITOKENS_PER_TOKEN = 1_000;

    private LoanFrames() {}

    static Frame createBorrow(long loanId, String team, double tokens) {
        long milliTokens = (long) Math.ceil(tokens * MILLITOKENS_PER_TOKEN);
        return Frame.borrow(new Borrow(loanId, team, milliTokens).setTokens(tokens));
    }

    static Frame createLend(long loanId, String team, double tokens, long ttlMs) {
        long milliTokens = (long) Math.floor(tokens * MILLITOKENS_PER_TOKEN);
        return Frame.lend(new Lend(loanId, team, milliTokens, ttlMs).setTokens(tokens));
    }

    static double tokens(Borrow borrow) {
        return borrow.isSetTokens()
                ? sanitize(borrow.getTokens())
                : borrow.getMilliTokens() / MILLITOKENS_PER_TOKEN;
    }

    static double tokens(Lend lend) {
        return lend.isSetTokens()
                ? sanitize(lend.getTokens())
                : lend.getMilliTokens() / MILLITOKENS_PER_TOKEN;
    }

    /** Returns 0 for numbers that can't be a count of tokens: negative, infinite or NaN. */
    private static double sanitize(double tokens) {
        return Double.isFinite(tokens) ? Math.max(0, tokens) : 0;
    }
}
