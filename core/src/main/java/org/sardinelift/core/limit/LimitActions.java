package org.sardinelift.core.limit;

/** What the limits of one entry ask its driver to do. */
public interface LimitActions {

    /**
     * Answers a request.
     *
     * @param ticket the request's number
     * @param admission the answer
     */
    void answer(long ticket, Admission admission);

    /**
     * Asks a peer for tokens.
     *
     * @param peer the peer
     * @param exchange number of the loan
     * @param team the team
     * @param tokens tokens wanted
     */
    void borrow(String peer, long exchange, String team, double tokens);

    /**
     * Answers a peer that asked for tokens, or settles a loan of its own.
     *
     * @param peer the peer
     * @param exchange number of the loan
     * @param team the team
     * @param tokens tokens lent or returned
     * @param ttlMs time for which lent tokens may be spent from the sending of the request,
     *     milliseconds; 0 where a borrower settles the loan
     */
    void lend(String peer, long exchange, String team, double tokens, long ttlMs);

    /**
     * Reads or writes the shares.
     *
     * @param call the call
     */
    void callPlatform(ShareCall call);
}
