package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * State of gathering loans for the waiting requests of one team. A pass asks every peer, in rounds
 * of a few at once. Times are nanoseconds.
 */
final class LoanGathering {
    private static final int MAX_DOUBLINGS = 8;

    private final Deque<Long> waitingRequests = new ArrayDeque<>();
    private final Map<Long, String> openRequests = new HashMap<>();
    private Deque<String> peersToAsk = new ArrayDeque<>();
    private boolean isActive;
    private long startedAt;
    private long passEndedAt;
    private long roundStartedAt;
    private int pass;
    private long notBefore;
    private long retryAt;
    private int failures;

    boolean isActive() {
        return isActive;
    }

    void start(Deque<String> peers, long now) {
        isActive = true;
        startedAt = now;
        pass = 0;
        nextPass(peers);
    }

    void nextPass(Deque<String> peers) {
        pass++;
        passEndedAt = 0;
        openRequests.clear();
        peersToAsk = peers;
    }

    void stop(long noGatherBefore) {
        isActive = false;
        openRequests.clear();
        notBefore = noGatherBefore;
    }

    void resetBackoff() {
        failures = 0;
    }

    /** Counts one more failed gathering and returns the pause after it, twice the one before. */
    long nextBackoff(long minPause) {
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        return minPause << failures;
    }

    void retryAt(long time) {
        retryAt = time;
    }

    /** Time by which the fleet must have a token, as computed when the last gathering failed. */
    long retryAt() {
        return retryAt;
    }

    void recordRequest(long loanId, String peer) {
        openRequests.put(loanId, peer);
    }

    /** Records the answer to a request; returns whether it was sent in this pass. */
    boolean recordAnswer(long loanId) {
        return openRequests.remove(loanId) != null;
    }

    void onPeerDown(String peer) {
        openRequests.values().removeIf(peer::equals);
        peersToAsk.remove(peer);
    }

    void startRound(long now) {
        roundStartedAt = now;
    }

    /** Whether all peers asked in this round have answered or the timeout has passed. */
    boolean isRoundAnsweredOrTimedOut(long timeoutNanos, long now) {
        return openRequests.isEmpty() || now - roundStartedAt >= timeoutNanos;
    }

    boolean isRoundAnswered() {
        return openRequests.isEmpty();
    }

    boolean isPassOver(long now) {
        boolean isOver = openRequests.isEmpty() && peersToAsk.isEmpty();
        if (isOver && passEndedAt == 0) {
            passEndedAt = now;
        }
        return isOver;
    }

    long nanosSincePass(long now) {
        return now - passEndedAt;
    }

    long ageNanos(long now) {
        return now - startedAt;
    }

    int pass() {
        return pass;
    }

    long notBefore() {
        return notBefore;
    }

    Deque<Long> waitingRequests() {
        return waitingRequests;
    }

    Deque<String> peersToAsk() {
        return peersToAsk;
    }
}
