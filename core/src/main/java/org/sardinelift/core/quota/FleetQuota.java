package org.sardinelift.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sardinelift.core.plan.TeamRateLimit;

/**
 * Token buckets of all teams over all gateways together. Each gateway keeps its own copy of each
 * bucket and charges its own calls to it at once, and those of its peers when they report them.
 *
 * <p>A gateway that stops reporting may still admit calls that others don't see. The buckets are
 * therefore divided: while a peer is silent, its equal part of each rate and burst is reserved for
 * it, and a gateway that gets no reports has only its own equal part. A peer is detected as silent
 * only after a timeout; what was spent here since its last report beyond the part of the gateways
 * that still report is then paid back. Whichever groups of gateways lose contact with each other,
 * their parts add up to the rate and burst.
 *
 * <p>Calls of one team that arrive unevenly at the gateways, all at one of them or in turn, are
 * admitted up to the whole rate wherever they arrive. Times are nanoseconds of a monotonic clock.
 * Not safe for use by several threads at once.
 */
public final class FleetQuota {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time within which a peer that reports again has reported the counts of all teams. */
    private static final long RETURN_PERIOD_NANOS = 3_000_000_000L;

    /** Spendings kept for each team; far more than a gateway admits within the silence timeout. */
    private static final int MAX_RECENT_SPENDINGS = 500;

    private final QuotaBounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> admittedCounts = new HashMap<>();

    private final long startedAt;
    private double usablePart = 1;

    private FleetQuota(QuotaBounds bounds, long startedAt) {
        this.bounds = bounds;
        this.startedAt = startedAt;
    }

    /**
     * Creates the buckets of a gateway that has just started. All are empty, since others may have
     * spent their tokens, and fill from that time on.
     *
     * @param bounds timeouts
     * @param now current time
     * @return the buckets
     */
    public static FleetQuota create(QuotaBounds bounds, long now) {
        return new FleetQuota(bounds, now);
    }

    /**
     * Sets the teams of the plan; the buckets of other teams are removed.
     *
     * @param teams teams by name
     * @param now current time
     */
    public void updateTeams(Map<String, TeamRateLimit> teams, long now) {
        detectSilentPeers(now);
        buckets.keySet().retainAll(teams.keySet());
        teams.values().stream()
                .filter(TeamRateLimit::isLimited)
                .forEach(team -> bucket(team).refill(team, usablePart, now));
    }

    /**
     * Detects peers that have become silent; to be called several times per silence timeout.
     *
     * @param now current time
     */
    public void detectSilentPeers(long now) {
        double currentPart = computeUsablePart(now);
        if (currentPart < usablePart) {
            double keptPart = currentPart / usablePart;
            buckets.values()
                    .forEach(
                            bucket -> {
                                bucket.refill(bucket.team, usablePart, now);
                                bucket.reduceTo(keptPart, now, bounds.silenceTimeout().toNanos());
                            });
        } else if (currentPart > usablePart) {
            buckets.values().forEach(bucket -> bucket.refill(bucket.team, usablePart, now));
        }
        usablePart = currentPart;
    }

    /**
     * Admits a call if the team's bucket allows it.
     *
     * @param team rate limit of the team
     * @param now current time
     * @return 0 if the call was admitted, otherwise the time until one may be, nanoseconds
     */
    public long tryAdmit(TeamRateLimit team, long now) {
        if (!team.isLimited()) {
            return 0;
        }
        detectSilentPeers(now);
        Bucket bucket = bucket(team);
        bucket.refill(team, usablePart, now);
        if (bucket.tokens >= 1) {
            bucket.spend(1, now);
            admittedCounts.merge(team.name(), 1L, Long::sum);
            return 0;
        }
        double missingTokens = 1 - bucket.tokens;
        return Math.max(
                1, (long) (missingTokens / (team.ratePerSecond() * usablePart) * NANOS_PER_SECOND));
    }

    /**
     * Returns the calls that this gateway admitted since its start, for the reports to peers.
     *
     * @return number of calls by team
     */
    public Map<String, Long> admittedCounts() {
        return admittedCounts;
    }

    /**
     * Adds a gateway that shares the buckets; it counts as silent until it reports.
     *
     * @param name name of the peer
     * @param now current time
     */
    public void onPeerAdded(String name, long now) {
        peers.computeIfAbsent(name, key -> new Peer(now - bounds.silenceTimeout().toNanos()));
    }

    /**
     * Removes a gateway that has stopped for good.
     *
     * @param name name of the peer
     */
    public void onPeerRemoved(String name) {
        peers.remove(name);
    }

    /**
     * Handles a report of a peer.
     *
     * @param name name of the peer
     * @param incarnation incarnation of the peer; counts start at 0 in each
     * @param ageNanos age of that incarnation
     * @param counts calls that it admitted since its start, for some or all teams
     * @param now current time
     */
    public void onReport(
            String name, long incarnation, long ageNanos, Map<String, Long> counts, long now) {
        Peer peer = peers.computeIfAbsent(name, key -> new Peer(now));
        if (incarnation < peer.incarnation) {
            return;
        }
        if (peer.incarnation != incarnation) {
            peer.incarnation = incarnation;
            peer.counts.clear();
            peer.hasCountsFromStart = ageNanos <= bounds.newPeerAge().toNanos();
        }
        detectSilentPeers(now);
        if (now - peer.reportedAt >= bounds.silenceTimeout().toNanos()) {
            peer.silentForNanos = now - peer.reportedAt;
            peer.returnedAt = now;
            peer.settledTeams.clear();
        }
        peer.reportedAt = now;
        counts.forEach((team, count) -> countPeerCalls(peer, team, count, now));
        detectSilentPeers(now);
    }

    private void countPeerCalls(Peer peer, String team, long count, long now) {
        Long previousCount = peer.counts.get(team);
        if (previousCount == null && !peer.hasCountsFromStart) {
            peer.counts.put(team, count);
            return;
        }
        long newCalls = count - (previousCount == null ? 0 : previousCount);
        if (newCalls <= 0) {
            return;
        }
        peer.counts.put(team, count);
        Bucket bucket = buckets.get(team);
        if (bucket != null) {
            // Refilled first: tokens that a full bucket could not hold must not pay for these
            // calls.
            bucket.refill(bucket.team, usablePart, now);
            bucket.spend(Math.max(0, newCalls - reservedFor(peer, bucket.team, now)), now);
        }
    }

    /**
     * Returns what was reserved for a peer while it was silent and must not be counted twice; once
     * for each team after each return, since a report does not contain all teams.
     */
    private double reservedFor(Peer peer, TeamRateLimit team, long now) {
        boolean hasReturned =
                now - peer.returnedAt < RETURN_PERIOD_NANOS && peer.silentForNanos > 0;
        if (!hasReturned || !peer.settledTeams.add(team.name())) {
            return 0;
        }
        double seconds = peer.silentForNanos / NANOS_PER_SECOND;
        return (team.burst() + seconds * team.ratePerSecond()) / (peers.size() + 1.0);
    }

    /**
     * Handles a pause of this process: others continued, and may have spent the tokens in the
     * buckets.
     *
     * @param now current time
     */
    public void onPause(long now) {
        buckets.values()
                .forEach(
                        bucket -> {
                            bucket.tokens = Math.min(0, bucket.tokens);
                            bucket.filledAt = now;
                        });
    }

    /**
     * Returns the part of each rate that this gateway may use: that of the gateways that report to
     * it, and its own.
     */
    private double computeUsablePart(long now) {
        long timeout = bounds.silenceTimeout().toNanos();
        long silentPeers =
                peers.values().stream().filter(peer -> now - peer.reportedAt >= timeout).count();
        return 1 - silentPeers / (peers.size() + 1.0);
    }

    /**
     * Describes the state of a team's bucket, for the log.
     *
     * @param team name of the team
     * @return tokens in the bucket and the part of the rate that this gateway may admit
     */
    public String describe(String team) {
        Bucket bucket = buckets.get(team);
        double tokens = bucket == null ? 0 : bucket.tokens;
        return "tokens %.2f, part %.2f of %d gateways"
                .formatted(tokens, usablePart, peers.size() + 1);
    }

    private Bucket bucket(TeamRateLimit team) {
        return buckets.computeIfAbsent(team.name(), name -> new Bucket(team, startedAt));
    }

    private static final class Bucket {
        private final Deque<Spending> recentSpendings = new ArrayDeque<>();
        private TeamRateLimit team;
        private double tokens;
        private long filledAt;

        /** Tokens spent at a time. */
        private record Spending(double tokens, long at) {}

        Bucket(TeamRateLimit team, long now) {
            this.team = team;
            this.filledAt = now;
        }

        void refill(TeamRateLimit current, double part, long now) {
            double seconds = Math.max(0, now - filledAt) / NANOS_PER_SECOND;
            double capacity = Math.max(1, current.burst() * part);
            tokens = Math.min(capacity, tokens + seconds * team.ratePerSecond() * part);
            team = current;
            filledAt = Math.max(filledAt, now);
        }

        void spend(double count, long now) {
            tokens -= count;
            recentSpendings.addLast(new Spending(count, now));
            while (recentSpendings.size() > MAX_RECENT_SPENDINGS) {
                recentSpendings.removeFirst();
            }
        }

        /**
         * Keeps a part of the bucket, as it was when the silent peers last reported, for the
         * gateways that still report; what was spent since then is charged to that part alone.
         */
        void reduceTo(double keptPart, long now, long silenceNanos) {
            double spentSince =
                    recentSpendings.stream()
                            .filter(spending -> now - spending.at() <= silenceNanos)
                            .mapToDouble(Spending::tokens)
                            .sum();
            tokens = keptPart * tokens - (1 - keptPart) * spentSince;
        }
    }

    private static final class Peer {
        private final Map<String, Long> counts = new HashMap<>();
        private long reportedAt;
        private long incarnation;
        private boolean hasCountsFromStart;
        private final Set<String> settledTeams = new HashSet<>();
        private long silentForNanos;
        private long returnedAt;

        Peer(long reportedAt) {
            this.reportedAt = reportedAt;
        }
    }
}
