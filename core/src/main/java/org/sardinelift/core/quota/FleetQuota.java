package org.sardinelift.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.RateLimit;

/**
 * Token buckets over all instances together, one for each limited team or target. Each instance
 * keeps its own copy of each bucket and charges its own calls to it at once, and those of its peers
 * when they report them.
 *
 * <p>An instance that stops reporting may still admit calls that others don't see. The buckets are
 * therefore divided: while a peer is silent, its equal part of each rate and burst is reserved for
 * it, and an instance that gets no reports has only its own equal part. A peer is detected as
 * silent only after a timeout; what was spent here since its last report beyond the part of the
 * instances that still report is then paid back. Whichever groups of instances lose contact with
 * each other, their parts add up to the rate and burst.
 *
 * <p>Calls under one limit that arrive unevenly at the instances, all at one of them or in turn,
 * are admitted up to the whole rate wherever they arrive. Times are nanoseconds of a monotonic
 * clock. Not safe for use by several threads at once.
 */
public final class FleetQuota {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time within which a peer that reports again has reported all counts. */
    private static final long RETURN_PERIOD_NANOS = 3_000_000_000L;

    /**
     * Spendings kept for each bucket; far more than an instance admits within the silence timeout.
     */
    private static final int MAX_RECENT_SPENDINGS = 500;

    /** Part of an instance's share that its slots use, since their phases are not coordinated. */
    private static final double SLOT_RATE_PART = 0.5;

    /** Length of a slot. Longer ones let more instances that have waited send at the same time. */
    private static final long SLOT_NANOS = 50_000_000L;

    private final QuotaBounds bounds;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> admittedCounts = new HashMap<>();

    private final long startedAt;
    private double usablePart = 1;
    private @Nullable StrictSharing strictSharing;
    private double strictPart = 1;
    private boolean isFleetKnown;
    private long fleetKnownAt;

    private FleetQuota(QuotaBounds bounds, long startedAt) {
        this.bounds = bounds;
        this.startedAt = startedAt;
    }

    /**
     * Creates the buckets of an instance that has just started. All are empty, since others may
     * have spent their tokens, and fill from that time on.
     *
     * @param bounds timeouts
     * @param now current time
     * @return the buckets
     */
    public static FleetQuota create(QuotaBounds bounds, long now) {
        return new FleetQuota(bounds, now);
    }

    /**
     * Sets all limits; the buckets of others are removed.
     *
     * @param limits limits by name
     * @param now current time
     */
    public void updateLimits(Map<String, RateLimit> limits, long now) {
        detectSilentPeers(now);
        buckets.keySet().retainAll(limits.keySet());
        limits.values().stream()
                .filter(RateLimit::isLimited)
                .forEach(limit -> bucket(limit).refill(limit, usablePart, now));
    }

    /**
     * Adds or changes one limit. The bucket of a new one is empty, since calls that were not
     * counted have just been made.
     *
     * @param limit the limit
     * @param now current time
     */
    public void setLimit(RateLimit limit, long now) {
        detectSilentPeers(now);
        Bucket bucket = buckets.computeIfAbsent(limit.name(), name -> new Bucket(limit, now));
        bucket.refill(limit, part(bucket), now);
        bucket.isStrict = false;
    }

    /**
     * Sets how strict limits are divided; before the first of them.
     *
     * @param sharing the bounds
     * @param now current time
     */
    public void shareStrictly(StrictSharing sharing, long now) {
        strictSharing = sharing;
        strictPart = computeStrictPart(now);
    }

    /**
     * Adds or changes a strict limit: one that holds in any one second, also while instances lose
     * contact. An instance whose part of the burst is less than one request sends only in slots of
     * its own, see {@link StrictSharing}.
     *
     * @param limit the limit
     * @param now current time
     */
    public void setStrictLimit(RateLimit limit, long now) {
        detectSilentPeers(now);
        Bucket bucket = buckets.computeIfAbsent(limit.name(), name -> new Bucket(limit, now));
        bucket.refill(limit, part(bucket), now);
        if (!bucket.isStrict) {
            // Requests that were not limited before have just been sent.
            bucket.tokens = Math.min(0, bucket.tokens);
            bucket.isStrict = true;
        }
    }

    /**
     * The list of instances was read, and each was added.
     *
     * @param now current time
     */
    public void onInstancesListed(long now) {
        if (!isFleetKnown) {
            isFleetKnown = true;
            fleetKnownAt = now;
        }
    }

    /**
     * Returns when a slot of this instance allows a request under a strict limit, whatever the
     * bucket holds: for requests that many instances have reason to send at the same time.
     *
     * @param name name of the limit
     * @param now current time
     * @return 0 if it allows one now or there is no strict limit, otherwise the time until it does
     */
    public long nanosUntilOwnSlot(String name, long now) {
        Bucket bucket = buckets.get(name);
        return bucket == null || !bucket.isStrict ? 0 : nanosUntilSlot(bucket, now);
    }

    private double part(Bucket bucket) {
        return bucket.isStrict ? strictPart : usablePart;
    }

    private boolean usesSlots(Bucket bucket) {
        return bucket.isStrict && bucket.limit.burst() * strictPart < 1;
    }

    private long nanosUntil(Bucket bucket, long now) {
        return usesSlots(bucket)
                ? nanosUntilSlot(bucket, now)
                : bucket.nanosUntilToken(part(bucket));
    }

    private long nanosUntilSlot(Bucket bucket, long now) {
        return Math.max(0, slotAt(bucket, now) - now);
    }

    /** Returns when the first slot begins that has not ended and was not used. */
    private long slotAt(Bucket bucket, long now) {
        StrictSharing sharing = Objects.requireNonNull(strictSharing);
        double share = strictPart < 1 && !isShareKnown(now) ? strictPart : 1 / (peers.size() + 1.0);
        double period = NANOS_PER_SECOND / (bucket.limit.ratePerSecond() * share * SLOT_RATE_PART);
        double phase = sharing.phase(bucket.limit.name()) * period;
        double index = Math.ceil((now - SLOT_NANOS - phase) / period);
        long slot = (long) (index * period + phase);
        boolean isUsed = bucket.hasUsedSlot && slot - bucket.usedSlotAt < period / 2;
        return isUsed ? slot + (long) period : slot;
    }

    private boolean isShareKnown(long now) {
        return strictSharing != null
                && isFleetKnown
                && now - fleetKnownAt >= strictSharing.settleTime().toNanos();
    }

    private double computeStrictPart(long now) {
        if (strictSharing == null) {
            return 1;
        }
        if (!isShareKnown(now)) {
            return 1.0 / Math.max(strictSharing.maxInstances(), peers.size() + 1);
        }
        return partOfReporting(strictSharing.silenceTimeout().toNanos(), now);
    }

    /**
     * Removes one limit. Its count goes on if it is set again.
     *
     * @param name its name
     */
    public void removeLimit(String name) {
        buckets.remove(name);
    }

    /**
     * Drops the counts of all but some limits.
     *
     * @param names names of the limits whose counts are kept
     */
    public void retainCounts(Set<String> names) {
        admittedCounts.keySet().retainAll(names);
        peers.values().forEach(peer -> peer.counts.keySet().retainAll(names));
    }

    /**
     * Detects peers that have become silent; to be called several times per silence timeout.
     *
     * @param now current time
     */
    public void detectSilentPeers(long now) {
        double currentPart = computeUsablePart(now);
        changePart(false, usablePart, currentPart, bounds.silenceTimeout().toNanos(), now);
        usablePart = currentPart;
        if (strictSharing != null) {
            double currentStrictPart = computeStrictPart(now);
            long timeout = strictSharing.silenceTimeout().toNanos();
            changePart(true, strictPart, currentStrictPart, timeout, now);
            strictPart = currentStrictPart;
        }
    }

    private void changePart(
            boolean ofStrict, double before, double after, long silenceNanos, long now) {
        if (before == after) {
            return;
        }
        buckets.values().stream()
                .filter(bucket -> bucket.isStrict == ofStrict)
                .forEach(
                        bucket -> {
                            bucket.refill(bucket.limit, before, now);
                            if (after < before) {
                                bucket.reduceTo(after / before, now, silenceNanos);
                            }
                        });
    }

    /**
     * Admits a call if the bucket of a limit allows it.
     *
     * @param limit the limit
     * @param now current time
     * @return 0 if the call was admitted, otherwise the time until one may be, nanoseconds
     */
    public long tryAdmit(RateLimit limit, long now) {
        if (!limit.isLimited()) {
            return 0;
        }
        detectSilentPeers(now);
        Bucket bucket = bucket(limit);
        bucket.refill(limit, part(bucket), now);
        long wait = nanosUntil(bucket, now);
        if (wait == 0) {
            charge(bucket, now);
        }
        return wait;
    }

    /**
     * Returns when a limit allows a call, without admitting one.
     *
     * @param name name of the limit
     * @param now current time
     * @return 0 if it allows one now or is not set, otherwise the time until it does, nanoseconds
     */
    public long nanosUntilAdmission(String name, long now) {
        Bucket bucket = buckets.get(name);
        if (bucket == null) {
            return 0;
        }
        bucket.refill(bucket.limit, part(bucket), now);
        return nanosUntil(bucket, now);
    }

    /**
     * Admits a call whether or not its limit allows it, such as one that is made later, when the
     * limit will allow it. Later calls wait until the bucket has refilled.
     *
     * @param name name of the limit; without effect if it is not set
     * @param now current time
     */
    public void admit(String name, long now) {
        Bucket bucket = buckets.get(name);
        if (bucket != null) {
            bucket.refill(bucket.limit, part(bucket), now);
            charge(bucket, now);
        }
    }

    private void charge(Bucket bucket, long now) {
        if (bucket.isStrict) {
            bucket.usedSlotAt = slotAt(bucket, now);
            bucket.hasUsedSlot = true;
        }
        bucket.spend(1, now);
        admittedCounts.merge(bucket.limit.name(), 1L, Long::sum);
    }

    /**
     * Returns the calls that this instance admitted since its start, for the reports to peers.
     *
     * @return number of calls by name of the limit
     */
    public Map<String, Long> admittedCounts() {
        return admittedCounts;
    }

    /**
     * Adds an instance that shares the buckets; it counts as silent until it reports.
     *
     * @param name name of the peer
     * @param now current time
     */
    public void onPeerAdded(String name, long now) {
        peers.computeIfAbsent(name, key -> new Peer(now - bounds.silenceTimeout().toNanos()));
    }

    /**
     * Removes an instance that has stopped for good.
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
     * @param counts calls that it admitted since its start, for some or all limits
     * @param now current time
     */
    public void onReport(
            String name,
            long incarnation,
            long ageNanos,
            Map<String, AdmittedCount> counts,
            long now) {
        onInstancesListed(now);
        boolean isNew = !peers.containsKey(name);
        Peer peer = peers.computeIfAbsent(name, key -> new Peer(now));
        if (incarnation < peer.incarnation) {
            return;
        }
        if (peer.incarnation != incarnation) {
            peer.incarnation = incarnation;
            peer.counts.clear();
            peer.hasCountsFromStart = ageNanos <= bounds.newPeerAge().toNanos();
        }
        boolean isSilent = now - peer.reportedAt >= bounds.silenceTimeout().toNanos();
        boolean changesParts = isNew || isSilent;
        if (changesParts) {
            detectSilentPeers(now);
        }
        if (isSilent) {
            peer.silentForNanos = now - peer.reportedAt;
            peer.returnedAt = now;
            peer.settledLimits.clear();
        }
        peer.reportedAt = now;
        counts.forEach((limit, count) -> countPeerCalls(peer, limit, count, now));
        if (changesParts) {
            detectSilentPeers(now);
        }
    }

    private void countPeerCalls(Peer peer, String limit, AdmittedCount count, long now) {
        Long previousCount = peer.counts.get(limit);
        boolean isCountedFromStart =
                peer.hasCountsFromStart || count.ageNanos() <= bounds.newPeerAge().toNanos();
        if (previousCount == null && !isCountedFromStart) {
            peer.counts.put(limit, count.calls());
            return;
        }
        long newCalls = count.calls() - (previousCount == null ? 0 : previousCount);
        if (newCalls <= 0) {
            return;
        }
        peer.counts.put(limit, count.calls());
        Bucket bucket = buckets.get(limit);
        if (bucket != null) {
            // Refilled first: tokens that a full bucket could not hold must not pay for these
            // calls.
            bucket.refill(bucket.limit, part(bucket), now);
            bucket.spend(Math.max(0, newCalls - reservedFor(peer, bucket, now)), now);
        }
    }

    /**
     * Returns what was reserved for a peer while it was silent and must not be counted twice; once
     * for each limit after each return, since a report does not contain all counts.
     */
    private double reservedFor(Peer peer, Bucket bucket, long now) {
        if (bucket.isStrict) {
            return 0;
        }
        RateLimit limit = bucket.limit;
        boolean hasReturned =
                now - peer.returnedAt < RETURN_PERIOD_NANOS && peer.silentForNanos > 0;
        if (!hasReturned || !peer.settledLimits.add(limit.name())) {
            return 0;
        }
        double seconds = peer.silentForNanos / NANOS_PER_SECOND;
        return (limit.burst() + seconds * limit.ratePerSecond()) / (peers.size() + 1.0);
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
     * Returns the part of each rate that this instance may use: that of the instances that report
     * to it, and its own.
     */
    private double computeUsablePart(long now) {
        return partOfReporting(bounds.silenceTimeout().toNanos(), now);
    }

    private double partOfReporting(long timeout, long now) {
        long silentPeers =
                peers.values().stream().filter(peer -> now - peer.reportedAt >= timeout).count();
        return 1 - silentPeers / (peers.size() + 1.0);
    }

    /**
     * Describes the state of a bucket, for the log.
     *
     * @param limit name of the limit
     * @return tokens in the bucket and the part of the rate that this instance may admit
     */
    public String describe(String limit) {
        Bucket bucket = buckets.get(limit);
        double tokens = bucket == null ? 0 : bucket.tokens;
        return "tokens %.2f, part %.2f of %d gateways"
                .formatted(tokens, usablePart, peers.size() + 1);
    }

    private Bucket bucket(RateLimit limit) {
        return buckets.computeIfAbsent(limit.name(), name -> new Bucket(limit, startedAt));
    }

    private static final class Bucket {
        private final Deque<Spending> recentSpendings = new ArrayDeque<>();
        private RateLimit limit;
        private double tokens;
        private long filledAt;
        private boolean isStrict;
        private boolean hasUsedSlot;
        private long usedSlotAt;

        /** Tokens spent at a time. */
        private record Spending(double tokens, long at) {}

        Bucket(RateLimit limit, long now) {
            this.limit = limit;
            this.filledAt = now;
        }

        void refill(RateLimit current, double part, long now) {
            double seconds = Math.max(0, now - filledAt) / NANOS_PER_SECOND;
            double capacity = Math.max(isStrict ? 0 : 1, current.burst() * part);
            tokens = Math.min(capacity, tokens + seconds * limit.ratePerSecond() * part);
            limit = current;
            filledAt = Math.max(filledAt, now);
        }

        /** Returns the time until a token is in the bucket, 0 if there is one. */
        long nanosUntilToken(double part) {
            if (tokens >= 1) {
                return 0;
            }
            double seconds = (1 - tokens) / (limit.ratePerSecond() * part);
            return Math.max(1, (long) (seconds * NANOS_PER_SECOND));
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
        private final Set<String> settledLimits = new HashSet<>();
        private long silentForNanos;
        private long returnedAt;

        Peer(long reportedAt) {
            this.reportedAt = reportedAt;
        }
    }
}
