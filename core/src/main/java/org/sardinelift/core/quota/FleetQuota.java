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
 * bucket, takes its own calls out of it at once, and those of its peers as they report them.
 *
 * <p>A gateway that stops reporting may go on admitting calls unseen. So the buckets are divided:
 * while a peer is silent, its even part of each rate and burst is left to it, and a gateway that
 * hears nobody has only its own even part. A peer is noticed to be silent only after a while; what
 * was spent here since its last report beyond the part of those still heard is then paid back.
 * Whatever groups of gateways lose each other, their parts add up to the rate and burst.
 *
 * <p>Loads answered: calls of one team that come unevenly to the gateways, all at one of them or in
 * turn, are admitted up to the whole rate wherever they come. Times are nanoseconds of a monotonic
 * clock. Not safe for use by several threads at once.
 */
public final class FleetQuota {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time in which a peer that is heard again has named the counts of all teams. */
    private static final long RETURN_SETTLED_NANOS = 3_000_000_000L;

    /** Takings remembered of each team; far more than a gateway admits within the silence bound. */
    private static final int MAX_SPENT = 500;

    private final QuotaBounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> admittedCounts = new HashMap<>();

    private final long startedAt;
    private double heardPart = 1;

    private FleetQuota(QuotaBounds bounds, long startedAt) {
        this.bounds = bounds;
        this.startedAt = startedAt;
    }

    /**
     * Buckets of a gateway that has just started. All are empty then, since others may have spent
     * what was in them, and fill from that time on.
     *
     * @param bounds times
     * @param now the time
     * @return the buckets
     */
    public static FleetQuota create(QuotaBounds bounds, long now) {
        return new FleetQuota(bounds, now);
    }

    /**
     * Takes the teams of a plan; teams that are not among them are forgotten.
     *
     * @param teams teams by name
     * @param now the time
     */
    public void updateTeams(Map<String, TeamRateLimit> teams, long now) {
        detectSilentPeers(now);
        buckets.keySet().retainAll(teams.keySet());
        teams.values().stream()
                .filter(TeamRateLimit::isLimited)
                .forEach(team -> bucket(team).refill(team, heardPart, now));
    }

    /**
     * Looks for peers that have fallen silent; to be called several times in the silence bound.
     *
     * @param now the time
     */
    public void detectSilentPeers(long now) {
        double part = part(now);
        if (part < heardPart) {
            double left = part / heardPart;
            buckets.values()
                    .forEach(
                            bucket -> {
                                bucket.refill(bucket.team, heardPart, now);
                                bucket.divide(left, now, bounds.silenceTimeout().toNanos());
                            });
        } else if (part > heardPart) {
            buckets.values().forEach(bucket -> bucket.refill(bucket.team, heardPart, now));
        }
        heardPart = part;
    }

    /**
     * Admits a call where the team's bucket allows it.
     *
     * @param team what the team may send
     * @param now the time
     * @return 0 where the call was admitted, otherwise the time until one may be, nanoseconds
     */
    public long tryAdmit(TeamRateLimit team, long now) {
        if (!team.isLimited()) {
            return 0;
        }
        detectSilentPeers(now);
        Bucket bucket = bucket(team);
        bucket.refill(team, heardPart, now);
        if (bucket.tokens >= 1) {
            bucket.spend(1, now);
            admittedCounts.merge(team.name(), 1L, Long::sum);
            return 0;
        }
        double missing = 1 - bucket.tokens;
        return Math.max(
                1, (long) (missing / (team.ratePerSecond() * heardPart) * NANOS_PER_SECOND));
    }

    /**
     * Calls admitted here since the start, for the reports to peers.
     *
     * @return their number by team
     */
    public Map<String, Long> admittedCounts() {
        return admittedCounts;
    }

    /**
     * A gateway that shares the buckets is known; it counts as silent until it reports.
     *
     * @param name name of the peer
     * @param now the time
     */
    public void onPeerAdded(String name, long now) {
        peers.computeIfAbsent(name, key -> new Peer(now - bounds.silenceTimeout().toNanos()));
    }

    /**
     * A gateway has gone for good.
     *
     * @param name name of the peer
     */
    public void onPeerRemoved(String name) {
        peers.remove(name);
    }

    /**
     * A peer reports.
     *
     * @param name name of the peer
     * @param incarnation the peer's life; its counts begin at 0 in each
     * @param ageNanos how long that life has lasted
     * @param counts calls that it admitted since its start, of some or all teams
     * @param now the time
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
            peer.countsFromStart = ageNanos <= bounds.newPeerAge().toNanos();
        }
        detectSilentPeers(now);
        if (now - peer.heardAt >= bounds.silenceTimeout().toNanos()) {
            peer.silentNanos = now - peer.heardAt;
            peer.returnedAt = now;
            peer.settled.clear();
        }
        peer.heardAt = now;
        counts.forEach((team, count) -> take(peer, team, count, now));
        detectSilentPeers(now);
    }

    private void take(Peer peer, String team, long count, long now) {
        Long before = peer.counts.get(team);
        if (before == null && !peer.countsFromStart) {
            peer.counts.put(team, count);
            return;
        }
        long added = count - (before == null ? 0 : before);
        if (added <= 0) {
            return;
        }
        peer.counts.put(team, count);
        Bucket bucket = buckets.get(team);
        if (bucket != null) {
            // Filled first: what a full bucket could not hold must not make up for these calls.
            bucket.refill(bucket.team, heardPart, now);
            bucket.spend(Math.max(0, added - leftTo(peer, bucket.team, now)), now);
        }
    }

    /**
     * What was left to a peer while it was silent, and is not to be counted twice; once for each
     * team after each return, since a report does not name all teams.
     */
    private double leftTo(Peer peer, TeamRateLimit team, long now) {
        boolean returned = now - peer.returnedAt < RETURN_SETTLED_NANOS && peer.silentNanos > 0;
        if (!returned || !peer.settled.add(team.name())) {
            return 0;
        }
        double seconds = peer.silentNanos / NANOS_PER_SECOND;
        return (team.burst() + seconds * team.ratePerSecond()) / (peers.size() + 1.0);
    }

    /**
     * This process stood still while others went on: what was left in the buckets may be spent.
     *
     * @param now the time
     */
    public void onPause(long now) {
        buckets.values()
                .forEach(
                        bucket -> {
                            bucket.tokens = Math.min(0, bucket.tokens);
                            bucket.filledAt = now;
                        });
    }

    /** The part of each rate that this gateway may count on: that of the gateways it hears. */
    private double part(long now) {
        long silence = bounds.silenceTimeout().toNanos();
        long silent = peers.values().stream().filter(peer -> now - peer.heardAt >= silence).count();
        return 1 - silent / (peers.size() + 1.0);
    }

    /**
     * What an admission of a team rests on, for the log.
     *
     * @param team name of the team
     * @return tokens held and the part of the rate that this instance may admit
     */
    public String describe(String team) {
        Bucket bucket = buckets.get(team);
        double tokens = bucket == null ? 0 : bucket.tokens;
        return "tokens %.2f, part %.2f of %d gateways"
                .formatted(tokens, heardPart, peers.size() + 1);
    }

    private Bucket bucket(TeamRateLimit team) {
        return buckets.computeIfAbsent(team.name(), name -> new Bucket(team, startedAt));
    }

    private static final class Bucket {
        private final Deque<Spent> lately = new ArrayDeque<>();
        private TeamRateLimit team;
        private double tokens;
        private long filledAt;

        /** Tokens taken out at a time. */
        private record Spent(double tokens, long at) {}

        Bucket(TeamRateLimit team, long now) {
            this.team = team;
            this.filledAt = now;
        }

        void refill(TeamRateLimit current, double part, long now) {
            double seconds = Math.max(0, now - filledAt) / NANOS_PER_SECOND;
            double most = Math.max(1, current.burst() * part);
            tokens = Math.min(most, tokens + seconds * team.ratePerSecond() * part);
            team = current;
            filledAt = Math.max(filledAt, now);
        }

        void spend(double count, long now) {
            tokens -= count;
            lately.addLast(new Spent(count, now));
            while (lately.size() > MAX_SPENT) {
                lately.removeFirst();
            }
        }

        /**
         * Leaves a part of the bucket, as it was when the others were last heard, to those who are
         * still heard; what these have spent since then is theirs alone.
         */
        void divide(double left, long now, long silenceNanos) {
            double spent =
                    lately.stream()
                            .filter(each -> now - each.at() <= silenceNanos)
                            .mapToDouble(Spent::tokens)
                            .sum();
            tokens = left * tokens - (1 - left) * spent;
        }
    }

    private static final class Peer {
        private final Map<String, Long> counts = new HashMap<>();
        private long heardAt;
        private long incarnation;
        private boolean countsFromStart;
        private final Set<String> settled = new HashSet<>();
        private long silentNanos;
        private long returnedAt;

        Peer(long heardAt) {
            this.heardAt = heardAt;
        }
    }
}
