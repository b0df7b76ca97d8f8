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
 * lately are asked first, several at once. A request is served once all of them have answered, or
 * had the time for it, so that each pays its part and no bucket stays full while others are
 * drained; what is over goes back at once. Where two entries gather for one team at the same time,
 * the one with the greater name lends to the other, so that fractions of a token come together at
 * one of them. After a vain round the next one waits, longer after each, up to the time at which
 * the fleet must have a token. Times are nanoseconds. Not safe for use by several threads.
 */
final class TokenBorrower {
    private static final int MAX_PASSES = 2;
    private static final double LEAST_LEVELLED = 1e-3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LEAST_FRACTION = 1e-3;

    private final String self;
    private final LimitBounds bounds;
    private final RandomGenerator random;
    private final DoubleSupplier reachableFraction;
    private final Map<String, LoanGathering> gathers = new HashMap<>();
    private final Map<String, LoanGathering> active = new LinkedHashMap<>();
    private final Map<String, Long> lastLent = new HashMap<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    private List<String> peers = List.of();
    private long exchange;

    TokenBorrower(
            String self,
            LimitBounds bounds,
            RandomGenerator random,
            DoubleSupplier reachableFraction) {
        this.self = self;
        this.bounds = bounds;
        this.random = random;
        this.reachableFraction = reachableFraction;
        this.exchange = random.nextLong(Long.MAX_VALUE / 2);
    }

    void onConnected(List<String> connected) {
        peers.stream()
                .filter(peer -> !connected.contains(peer))
                .forEach(peer -> active.values().forEach(gather -> gather.onPeerDown(peer)));
        peers = List.copyOf(connected);
        lastLent.keySet().retainAll(peers);
    }

    /** Whether this entry gathers for a team itself and keeps its tokens from this peer. */
    boolean hasPriorityOver(String team, String peer) {
        return active.containsKey(team) && peer.compareTo(self) > 0;
    }

    void submit(String team, TeamAccount account, long ticket, long now, LimitActions out) {
        LoanGathering gather = gathers.computeIfAbsent(team, name -> new LoanGathering());
        boolean full = gather.waitingRequests().size() >= bounds.maxWaiting();
        if (full || (!gather.isActive() && (peers.isEmpty() || now < gather.notBefore()))) {
            out.answer(ticket, refusal(account, gather, now));
            return;
        }
        gather.waitingRequests().add(ticket);
        if (!gather.isActive()) {
            gather.start(order(), now);
            active.put(team, gather);
            ask(team, gather, account, now, out);
        }
    }

    void onLend(
            String peer,
            long number,
            TeamAccount account,
            double tokens,
            long ttlNanos,
            long now,
            LimitActions out) {
        Asked loan = asked.remove(number);
        if (loan == null || !loan.peer().equals(peer)) {
            return;
        }
        if (tokens > 0) {
            long expires = loan.sentAt() + ttlNanos;
            if (loan.isLevelling()) {
                account.depositLoan(peer, number, tokens, expires, now);
            } else {
                account.addLoan(peer, number, tokens, expires);
            }
            lastLent.put(peer, now);
        }
        LoanGathering gather = gathers.get(loan.team());
        if (gather != null && gather.isActive()) {
            gather.recordAnswer(number);
            advance(loan.team(), gather, account, now, out);
        } else {
            account.returnExcess(0, now);
        }
    }

    /**
     * Asks peers for their part of what this entry's bucket paid beyond its own, so that none stays
     * full while others run empty.
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
        List<String> lenders = order().stream().limit(bounds.fanOut()).toList();
        double total = Math.max(1, lenders.stream().mapToLong(units).sum());
        for (String peer : lenders) {
            double part = overpaid * units.applyAsLong(peer) / total;
            if (part >= LEAST_LEVELLED) {
                long number = ++exchange;
                asked.put(number, new Asked(peer, team, now, true));
                out.borrow(peer, number, team, part);
            }
        }
    }

    void tick(Map<String, TeamAccount> accounts, long now, LimitActions out) {
        for (String team : waitingTeams()) {
            LoanGathering gather = active.get(team);
            TeamAccount account = accounts.get(team);
            if (gather != null && account != null) {
                advance(team, gather, account, now, out);
            }
        }
        asked.values().removeIf(loan -> now - loan.sentAt() > bounds.loanTtl().toNanos());
    }

    /** Names of the teams whose requests wait for loans. */
    List<String> waitingTeams() {
        return List.copyOf(active.keySet());
    }

    void retainTeams(java.util.Set<String> teams) {
        gathers.keySet().removeIf(team -> !teams.contains(team) && !active.containsKey(team));
    }

    private void advance(
            String team, LoanGathering gather, TeamAccount account, long now, LimitActions out) {
        boolean heard = gather.isRoundAnsweredOrTimedOut(bounds.gatherPass().toNanos(), now);
        while (heard && !gather.waitingRequests().isEmpty() && account.tryAcquire(now)) {
            out.answer(gather.waitingRequests().poll(), new Admission.Admitted());
        }
        if (gather.waitingRequests().isEmpty()) {
            gather.resetBackoff();
            finish(team, gather, now);
            account.returnExcess(account.ratePerSecond() * prefetchSeconds(), now);
        } else if (gather.ageNanos(now) >= bounds.gatherBound().toNanos()) {
            refuseAll(team, gather, account, now, out);
        } else if (gather.isPassOver(now)) {
            nextPass(team, gather, account, now, out);
        } else if (gather.isRoundAnswered()) {
            ask(team, gather, account, now, out);
        }
    }

    private void nextPass(
            String team, LoanGathering gather, TeamAccount account, long now, LimitActions out) {
        if (isLevelling(team)) {
            return;
        }
        if (gather.pass() >= MAX_PASSES) {
            refuseAll(team, gather, account, now, out);
        } else if (gather.nanosSincePass(now) >= bounds.gatherPass().toNanos()) {
            gather.nextPass(order());
            ask(team, gather, account, now, out);
        }
    }

    /** Whether tokens that peers were asked for to level the buckets may still come. */
    private boolean isLevelling(String team) {
        return asked.values().stream().anyMatch(it -> it.isLevelling() && it.team().equals(team));
    }

    private void ask(
            String team, LoanGathering gather, TeamAccount account, long now, LimitActions out) {
        double need = gather.waitingRequests().size() - account.available(now);
        double ahead = account.ratePerSecond() * prefetchSeconds();
        int round = Math.min(bounds.fanOut(), gather.peersToAsk().size());
        gather.startRound(now);
        double each = round == 0 ? need : need + ahead / round;
        for (int i = 0; i < round; i++) {
            String peer = gather.peersToAsk().poll();
            long number = ++exchange;
            gather.recordRequest(number, peer);
            asked.put(number, new Asked(peer, team, now, false));
            out.borrow(peer, number, team, each);
        }
    }

    /**
     * Refuses what waits. Buckets from which this round borrowed may fill less until its loans are
     * back, which takes no longer than the round took: so much longer callers are told to wait.
     */
    private void refuseAll(
            String team, LoanGathering gather, TeamAccount account, long now, LimitActions out) {
        long wait = account.nanosUntilToken(fraction(), now);
        long pause = Math.min(gather.nextBackoff(bounds.minGatherPause().toNanos()), wait);
        gather.retryAt(now + wait + gather.ageNanos(now));
        List<Long> refused = List.copyOf(gather.waitingRequests());
        gather.waitingRequests().clear();
        finish(team, gather, now + pause);
        account.returnExcess(0, now);
        refused.forEach(ticket -> out.answer(ticket, refusal(account, gather, now)));
    }

    private void finish(String team, LoanGathering gather, long noGatherBefore) {
        gather.stop(noGatherBefore);
        active.remove(team);
    }

    private Admission refusal(TeamAccount account, LoanGathering gather, long now) {
        long told = gather.retryAt() - now;
        long wait = told > 0 ? told : account.nanosUntilToken(fraction(), now);
        long least = bounds.minGatherPause().toNanos();
        return new Admission.Refused(Duration.ofNanos(Math.max(least, wait)));
    }

    private double fraction() {
        return Math.max(LEAST_FRACTION, reachableFraction.getAsDouble());
    }

    private double prefetchSeconds() {
        return bounds.prefetch().toNanos() / NANOS_PER_SECOND;
    }

    /** Peers that lent last come first; the others in random order. */
    private Deque<String> order() {
        Map<String, Double> rank = new HashMap<>();
        peers.forEach(
                peer -> {
                    Long at = lastLent.get(peer);
                    rank.put(peer, at == null ? random.nextDouble() : -1.0 - at);
                });
        return new ArrayDeque<>(
                peers.stream().sorted(Comparator.comparingDouble(rank::get)).toList());
    }

    private record Asked(String peer, String team, long sentAt, boolean isLevelling) {}
}
