package org.sardinelift.core.limit;

/**
 * Notice to a lender that a loan has ended.
 *
 * @param peer the lender
 * @param loanId number of the loan
 * @param team the team
 * @param unspentTokens tokens that are returned unspent
 */
public record Settlement(String peer, long loanId, String team, double unspentTokens) {}
