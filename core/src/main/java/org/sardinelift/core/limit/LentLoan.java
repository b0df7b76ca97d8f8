package org.sardinelift.core.limit;

/** A loan as its lender records it: the tokens, and the time at which it has certainly expired. */
record LentLoan(double tokens, long expiresNanos) {}
