package org.sardinelift.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Requests of one team that wait for loans, and the loans asked for. Times are nanoseconds. */
final class LoanGathering {
    private static final int MAX_DOUBLINGS = 8;

    private final Deque<Long> waitingRequests = new ArrayDeque<>();
    private final Map<Long, String> asked = new HashMap<>();
    private Deque<String> peersToAsk = new ArrayDeque<>();
    private boolean active;
    private long startedAt;
    private long passEndedAt;
    private long roundAt;
    private int pass;
    private long notBefore;
    private long retryAt;
    private int vain;

    boolean isActive() {
        return active;
    }

    void start(Deque<String> peers, long now) {
        active = true;
        startedAt = now;
        pass = 0;
        nextPass(peers);
    }

    void nextPass(Deque<String> peers) {
        pass++;
        passEndedAt = 0;
        asked.clear();
        peersToAsk = peers;
    }

    void stop(long noGatherBefore) {
        active = false;
        asked.clear();
        notBefore = noGatherBefore;
    }

    void resetBackoff() {
        vain = 0;
    }

    /** The pause after one more vain round, twice that after the round before. */
    long nextBackoff(long least) {
        vain = Math.min(vain + 1, MAX_DOUBLINGS);
        return least << vain;
    }

    void retryAt(long time) {
        retryAt = time;
    }

    /** When the fleet must have a token, as of the last vain round. */
    long retryAt() {
        return retryAt;
    }

    void recordRequest(long exchange, String peer) {
        asked.put(exchange, peer);
    }

    /** Notes that a peer has answered; whether it was asked in this pass. */
    boolean recordAnswer(long exchange) {
        return asked.remove(exchange) != null;
    }

    void onPeerDown(String peer) {
        asked.values().removeIf(peer::equals);
        peersToAsk.remove(peer);
    }

    void startRound(long now) {
        roundAt = now;
    }

    /** Whether all peers asked in this round have answered or had the time for it. */
    boolean isRoundAnsweredOrTimedOut(long patienceNanos, long now) {
        return asked.isEmpty() || now - roundAt >= patienceNanos;
    }

    boolean isRoundAnswered() {
        return asked.isEmpty();
    }

    boolean isPassOver(long now) {
        boolean over = asked.isEmpty() && peersToAsk.isEmpty();
        if (over && passEndedAt == 0) {
            passEndedAt = now;
        }
        return over;
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
