package org.sardinelift.core.limit;

/** A loan as its borrower holds it: the tokens not yet spent, and the time at which they expire. */
record BorrowedLoan(String peer, long loanId, double tokens, long expiresNanos) {

    BorrowedLoan minus(double part) {
        return new BorrowedLoan(peer, loanId, tokens - part, expiresNanos);
    }
}
