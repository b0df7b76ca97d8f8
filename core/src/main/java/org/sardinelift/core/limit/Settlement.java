package org.sardinelift.core.limit;

/**
 * Word to a lender that nothing of a loan is held any more.
 *
 * @param peer the lender
 * @param exchange number of the loan
 * @param team the team
 * @param unspentTokens tokens that go back unspent
 */
public record Settlement(String peer, long loanId, String team, double unspentTokens) {}
