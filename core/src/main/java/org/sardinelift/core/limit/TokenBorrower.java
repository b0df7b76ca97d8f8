package org.sardinelift.core.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Borrows tokens from peers for requests that this entry's own bucket can't serve. Peers that lent
 * recently are asked first, several at once. Requests are served once all of these peers have
 * answered or the timeout has passed, so that each peer pays its part and no bucket stays full
 * while others run empty; excess tokens are returned at once. If two entries gather loans for one
 * team at the same time, the one with the greater name lends to the other, so that fractions of a
 * token are collected at one of them. After an unsuccessful gathering the next one is delayed, with
 * a pause that doubles each time, up to the time at which the fleet must have a token. Times are
 * nanoseconds. Not safe for use by several threads.
 */
final class TokenBorrower {
    private static final int MAX_PASSES = 2;
    private static final double MIN_LEVELLING_TOKENS = 1e-3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_REACHABLE_FRACTION = 1e-3;

    private final String self;
    private final LimitBounds bounds;
    private final RandomGenerator random;
    private final DoubleSupplier reachableFraction;
    private final Map<String, LoanGathering> gatherings = new HashMap<>();
    private final Map<String, LoanGathering> activeGatherings = new LinkedHashMap<>();
    private final Map<String, Long> lastLent = new HashMap<>();
    private final Map<Long, LoanRequest> openRequests = new HashMap<>();
    private List<String> peers = List.of();
    private long lastLoanId;

    TokenBorrower(
            String self,
            LimitBounds bounds,
            RandomGenerator random,
            DoubleSupplier reachableFraction) {
        this.self = self;
        this.bounds = bounds;
        this.random = random;
        this.reachableFraction = reachableFraction;
        this.lastLoanId = random.nextLong(Long.MAX_VALUE / 2);
    }

    void onConnected(List<String> connected) {
        peers.stream()
                .filter(peer -> !connected.contains(peer))
                .forEach(
                        peer ->
                                activeGatherings
                                        .values()
                                        .forEach(gathering -> gathering.onPeerDown(peer)));
        peers = List.copyOf(connected);
        lastLent.keySet().retainAll(peers);
    }

    /**
     * Whether this entry is gathering loans for a team itself and has priority over a peer that
     * asks for its tokens.
     */
    boolean hasPriorityOver(String team, String peer) {
        return activeGatherings.containsKey(team) && peer.compareTo(self) > 0;
    }

    void submit(String team, TeamAccount account, long requestId, long now, LimitActions out) {
        LoanGathering gathering = gatherings.computeIfAbsent(team, name -> new LoanGathering());
        boolean isFull = gathering.waitingRequests().size() >= bounds.maxWaiting();
        if (isFull || (!gathering.isActive() && (peers.isEmpty() || now < gathering.notBefore()))) {
            out.answer(requestId, refusal(account, gathering, now));
            return;
        }
        gathering.waitingRequests().add(requestId);
        if (!gathering.isActive()) {
            gathering.start(peersByRecentLoan(), now);
            activeGatherings.put(team, gathering);
            startRound(team, gathering, account, now, out);
        }
    }

    void onLend(
            String peer,
            long loanId,
            TeamAccount account,
            double tokens,
            long ttlNanos,
            long now,
            LimitActions out) {
        LoanRequest request = openRequests.remove(loanId);
        if (request == null || !request.peer().equals(peer)) {
            return;
        }
        if (tokens > 0) {
            long expires = request.sentAt() + ttlNanos;
            if (request.isLevelling()) {
                account.depositLoan(peer, loanId, tokens, expires, now);
            } else {
                account.addLoan(peer, loanId, tokens, expires);
            }
            lastLent.put(peer, now);
        }
        LoanGathering gathering = gatherings.get(request.team());
        if (gathering != null && gathering.isActive()) {
            gathering.recordAnswer(loanId);
            advance(request.team(), gathering, account, now, out);
        } else {
            account.returnExcess(0, now);
        }
    }

    /**
     * Asks peers for their part of what this entry's bucket paid beyond its own part, so that no
     * bucket stays full while others run empty.
     */
    void borrowOverpaid(
            String team,
            TeamAccount account,
            ToLongFunction<String> units,
            long now,
            LimitActions out) {
        double overpaid = peers.isEmpty() ? 0 : account.pollOverpaid();
        if (overpaid <= 0) {
            return;
        }
        List<String> lenders = peersByRecentLoan().stream().limit(bounds.fanOut()).toList();
        double total = Math.max(1, lenders.stream().mapToLong(units).sum());
        for (String peer : lenders) {
            double part = overpaid * units.applyAsLong(peer) / total;
            if (part >= MIN_LEVELLING_TOKENS) {
                long loanId = ++lastLoanId;
                openRequests.put(loanId, new LoanRequest(peer, team, now, true));
                out.borrow(peer, loanId, team, part);
            }
        }
    }

    void tick(Map<String, TeamAccount> accounts, long now, LimitActions out) {
        for (String team : waitingTeams()) {
            LoanGathering gathering = activeGatherings.get(team);
            TeamAccount account = accounts.get(team);
            if (gathering != null && account != null) {
                advance(team, gathering, account, now, out);
            }
        }
        openRequests
                .values()
                .removeIf(request -> now - request.sentAt() > bounds.loanTtl().toNanos());
    }

    /** Names of the teams whose requests wait for loans. */
    List<String> waitingTeams() {
        return List.copyOf(activeGatherings.keySet());
    }

    void retainTeams(java.util.Set<String> teams) {
        gatherings
                .keySet()
                .removeIf(team -> !teams.contains(team) && !activeGatherings.containsKey(team));
    }

    private void advance(
            String team, LoanGathering gathering, TeamAccount account, long now, LimitActions out) {
        boolean canServe = gathering.isRoundAnsweredOrTimedOut(bounds.gatherPass().toNanos(), now);
        while (canServe && !gathering.waitingRequests().isEmpty() && account.tryAcquire(now)) {
            out.answer(gathering.waitingRequests().poll(), new Admission.Admitted());
        }
        if (gathering.waitingRequests().isEmpty()) {
            gathering.resetBackoff();
            finish(team, gathering, now);
            account.returnExcess(account.ratePerSecond() * prefetchSeconds(), now);
        } else if (gathering.ageNanos(now) >= bounds.gatherBound().toNanos()) {
            refuseAll(team, gathering, account, now, out);
        } else if (gathering.isPassOver(now)) {
            nextPass(team, gathering, account, now, out);
        } else if (gathering.isRoundAnswered()) {
            startRound(team, gathering, account, now, out);
        }
    }

    private void nextPass(
            String team, LoanGathering gathering, TeamAccount account, long now, LimitActions out) {
        if (isLevelling(team)) {
            return;
        }
        if (gathering.pass() >= MAX_PASSES) {
            refuseAll(team, gathering, account, now, out);
        } else if (gathering.nanosSincePass(now) >= bounds.gatherPass().toNanos()) {
            gathering.nextPass(peersByRecentLoan());
            startRound(team, gathering, account, now, out);
        }
    }

    /** Whether tokens requested to level the buckets may still arrive. */
    private boolean isLevelling(String team) {
        return openRequests.values().stream()
                .anyMatch(it -> it.isLevelling() && it.team().equals(team));
    }

    private void startRound(
            String team, LoanGathering gathering, TeamAccount account, long now, LimitActions out) {
        double needed = gathering.waitingRequests().size() - account.available(now);
        double prefetched = account.ratePerSecond() * prefetchSeconds();
        int peerCount = Math.min(bounds.fanOut(), gathering.peersToAsk().size());
        gathering.startRound(now);
        double tokensPerPeer = peerCount == 0 ? needed : needed + prefetched / peerCount;
        for (int i = 0; i < peerCount; i++) {
            String peer = gathering.peersToAsk().poll();
            long loanId = ++lastLoanId;
            gathering.recordRequest(loanId, peer);
            openRequests.put(loanId, new LoanRequest(peer, team, now, false));
            out.borrow(peer, loanId, team, tokensPerPeer);
        }
    }

    /**
     * Refuses all waiting requests. Buckets that lent to this gathering may fill less until the
     * loans are returned, which takes no longer than the gathering took; the retry time given to
     * callers is later by that much.
     */
    private void refuseAll(
            String team, LoanGathering gathering, TeamAccount account, long now, LimitActions out) {
        long untilToken = account.nanosUntilToken(reachableFractionOrMin(), now);
        long pause = Math.min(gathering.nextBackoff(bounds.minGatherPause().toNanos()), untilToken);
        gathering.retryAt(now + untilToken + gathering.ageNanos(now));
        List<Long> refusedRequests = List.copyOf(gathering.waitingRequests());
        gathering.waitingRequests().clear();
        finish(team, gathering, now + pause);
        account.returnExcess(0, now);
        refusedRequests.forEach(
                requestId -> out.answer(requestId, refusal(account, gathering, now)));
    }

    private void finish(String team, LoanGathering gathering, long noGatherBefore) {
        gathering.stop(noGatherBefore);
        activeGatherings.remove(team);
    }

    private Admission refusal(TeamAccount account, LoanGathering gathering, long now) {
        long untilRetry = gathering.retryAt() - now;
        long wait =
                untilRetry > 0
                        ? untilRetry
                        : account.nanosUntilToken(reachableFractionOrMin(), now);
        long minWait = bounds.minGatherPause().toNanos();
        return new Admission.Refused(Duration.ofNanos(Math.max(minWait, wait)));
    }

    private double reachableFractionOrMin() {
        return Math.max(MIN_REACHABLE_FRACTION, reachableFraction.getAsDouble());
    }

    private double prefetchSeconds() {
        return bounds.prefetch().toNanos() / NANOS_PER_SECOND;
    }

    /** Peers that lent most recently come first, the others in random order. */
    private Deque<String> peersByRecentLoan() {
        Map<String, Double> rank = new HashMap<>();
        peers.forEach(
                peer -> {
                    Long at = lastLent.get(peer);
                    rank.put(peer, at == null ? random.nextDouble() : -1.0 - at);
                });
        return new ArrayDeque<>(
                peers.stream().sorted(Comparator.comparingDouble(rank::get)).toList());
    }

    private record LoanRequest(String peer, String team, long sentAt, boolean isLevelling) {}
}
