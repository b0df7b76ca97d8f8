package org.sardinelift.core.limit;

/** Receives the answers, messages and platform calls that {@link FleetLimit} produces. */
public interface LimitActions {

    /**
     * Answers a request.
     *
     * @param requestId number of the request
     * @param admission the answer
     */
    void answer(long requestId, Admission admission);

    /**
     * Sends a peer a request for tokens.
     *
     * @param peer the peer
     * @param loanId number of the loan
     * @param team the team
     * @param tokens tokens requested
     */
    void borrow(String peer, long loanId, String team, double tokens);

    /**
     * Sends a peer the answer to its request for tokens, or the settlement of a loan from it.
     *
     * @param peer the peer
     * @param loanId number of the loan
     * @param team the team
     * @param tokens tokens lent or returned
     * @param ttlMs time for which lent tokens may be spent, counted from the sending of the
     *     request, milliseconds; 0 for a settlement by the borrower
     */
    void lend(String peer, long loanId, String team, double tokens, long ttlMs);

    /**
     * Reads or writes the shares at the platform.
     *
     * @param call the read or write
     */
    void callPlatform(ShareCall call);
}
