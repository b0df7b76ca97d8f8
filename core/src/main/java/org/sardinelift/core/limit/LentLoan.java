package org.sardinelift.core.limit;

/** A loan at its lender: tokens, and the time at which it has certainly expired. */
record LentLoan(double tokens, long expiresNanos) {}
