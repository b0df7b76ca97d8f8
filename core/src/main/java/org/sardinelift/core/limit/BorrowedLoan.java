package org.sardinelift.core.limit;

/** What is left of a loan at its borrower: tokens, and the time at which they expire. */
record BorrowedLoan(String peer, long loanId, double tokens, long expiresNanos) {

    BorrowedLoan minus(double part) {
        return new BorrowedLoan(peer, loanId, tokens - part, expiresNanos);
    }
}
