package org.sardinelift.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.Borrow;
import org.sardinelift.protocol.generated.Lend;

class LoanFramesTest {
    private static final double ONE_THIRD = 1 / 3.0;

    @Test
    void fractionsOfATokenAreSentExactly() {
        assertEquals(
                ONE_THIRD,
                LoanFrames.tokens(LoanFrames.createBorrow(1, "t", ONE_THIRD).getBorrow()));
        assertEquals(
                ONE_THIRD,
                LoanFrames.tokens(LoanFrames.createLend(1, "t", ONE_THIRD, 5).getLend()));
    }

    @Test
    void thousandthsAreRoundedUpToBorrowAndDownToLend() {
        assertEquals(334, LoanFrames.createBorrow(1, "t", ONE_THIRD).getBorrow().getMilliTokens());
        assertEquals(333, LoanFrames.createLend(1, "t", ONE_THIRD, 5).getLend().getMilliTokens());
        assertEquals(0.25, LoanFrames.tokens(new Borrow(1, "t", 250)));
        assertEquals(0.25, LoanFrames.tokens(new Lend(1, "t", 250, 5)));
    }

    @Test
    void invalidTokenCountsAreReadAsZero() {
        assertEquals(0, LoanFrames.tokens(new Lend(1, "t", 250, 5).setTokens(Double.NaN)));
        assertEquals(0, LoanFrames.tokens(new Lend(1, "t", 250, 5).setTokens(-1)));
        assertEquals(
                0, LoanFrames.tokens(new Borrow(1, "t", 250).setTokens(Double.POSITIVE_INFINITY)));
    }
}
