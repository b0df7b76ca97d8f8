package org.sardinelift.core.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The peers known to this instance, and which of them are live. Times are nanoseconds of a
 * monotonic clock. Not thread-safe.
 */
public final class PeerTable {
    /** Workers relay before gateways, because no callers wait for them. */
    private static final Comparator<RelayRank> RELAY_ORDER =
            Comparator.comparing((RelayRank rank) -> rank.role() != PeerRole.WORKER)
                    .thenComparing(RelayRank::name);

    private record RelayRank(PeerRole role, String name) {}

    private final String self;
    private final long silenceTimeoutNanos;
    private final long removalTimeoutNanos;
    private final Map<String, Peer> peers = new HashMap<>();

    private PeerTable(String self, Duration silenceTimeout, Duration removalTimeout) {
        this.self = self;
        this.silenceTimeoutNanos = silenceTimeout.toNanos();
        this.removalTimeoutNanos = removalTimeout.toNanos();
    }

    /**
     * Creates a table without peers.
     *
     * @param self name of this instance
     * @param silenceTimeout time without a report after which a peer is considered lost
     * @param removalTimeout time without a report after which a peer is removed
     * @return the table
     */
    public static PeerTable create(String self, Duration silenceTimeout, Duration removalTimeout) {
        return new PeerTable(self, silenceTimeout, removalTimeout);
    }

    /**
     * The address of an instance was learned from a source other than its own report.
     *
     * @param name its name
     * @param host IP address
     * @param port port
     * @param now the time
     * @return whether the instance was unknown
     */
    public boolean onAddress(String name, String host, int port, long now) {
        if (name.equals(self)) {
            return false;
        }
        Peer known = peers.get(name);
        boolean isLost = known != null && !isLive(known, now);
        if (known == null) {
            peers.put(name, Peer.ofAddress(name, host, port, now));
        } else if (isLost) {
            peers.put(name, known.withAddress(host, port));
        }
        return known == null;
    }

    /** Effect of a report. */
    public enum ReportResult {
        /** It is older than one already received. */
        STALE,
        /** The peer was already known and live. */
        KNOWN,
        /** The peer was unknown or lost, or has restarted. */
        JOINED
    }

    /**
     * A peer sent a report.
     *
     * @param report the peer as it reports itself
     * @return the effect of the report
     */
    public ReportResult onReport(Peer report) {
        if (report.name().equals(self)) {
            return ReportResult.STALE;
        }
        Peer known = peers.get(report.name());
        if (known != null && known.hasReported() && isOlder(report, known)) {
            return ReportResult.STALE;
        }
        peers.put(report.name(), report);
        boolean hasJoined =
                known == null
                        || !known.hasReported()
                        || known.incarnation() != report.incarnation()
                        || report.lastReportAt() - known.lastReportAt() >= silenceTimeoutNanos;
        return hasJoined ? ReportResult.JOINED : ReportResult.KNOWN;
    }

    private static boolean isOlder(Peer report, Peer known) {
        return report.incarnation() < known.incarnation()
                || report.incarnation() == known.incarnation()
                        && report.sequence() <= known.sequence();
    }

    /**
     * Removes the peers that have been silent for the removal timeout.
     *
     * @param now the time
     * @return names of the removed peers
     */
    public List<String> removeSilent(long now) {
        List<String> removed =
                peers.values().stream()
                        .filter(peer -> now - peer.lastReportAt() >= removalTimeoutNanos)
                        .map(Peer::name)
                        .toList();
        removed.forEach(peers::remove);
        return removed;
    }

    /**
     * Returns whether a peer has reported recently.
     *
     * @param peer the peer
     * @param now the time
     * @return true within the silence timeout
     */
    public boolean isLive(Peer peer, long now) {
        return peer.hasReported() && now - peer.lastReportAt() < silenceTimeoutNanos;
    }

    /**
     * Returns all peers, live or not.
     *
     * @return the peers
     */
    public Collection<Peer> all() {
        return peers.values();
    }

    /**
     * Returns the live peers of a role that are not about to stop.
     *
     * @param role the role
     * @param now the time
     * @return the peers
     */
    public Stream<Peer> livePeers(PeerRole role, long now) {
        return peers.values().stream()
                .filter(peer -> peer.role() == role && !peer.isLeaving() && isLive(peer, now));
    }

    /**
     * Returns the live peers that are not about to stop, of all roles.
     *
     * @param now the time
     * @return the peers
     */
    public List<Peer> stayingPeers(long now) {
        return peers.values().stream()
                .filter(peer -> !peer.isLeaving() && isLive(peer, now))
                .toList();
    }

    /**
     * Finds a peer.
     *
     * @param name its name
     * @return the peer, or empty if it isn't known
     */
    public Optional<Peer> find(String name) {
        return Optional.ofNullable(peers.get(name));
    }

    /**
     * Returns the peers to query, in the order in which to try them: those of a zone first, each
     * group in an order that depends on the draw.
     *
     * @param role the role
     * @param zone the preferred zone
     * @param draw number distributed evenly over the calls
     * @param now the time
     * @return the peers
     */
    public List<Peer> inPreferenceOrder(PeerRole role, String zone, long draw, long now) {
        List<Peer> order = new ArrayList<>(livePeers(role, now).toList());
        order.sort(
                Comparator.comparing((Peer peer) -> !peer.zone().equals(zone))
                        .thenComparingLong(peer -> (peer.name().hashCode() * 31L) ^ draw));
        return order;
    }

    /**
     * Returns whether another instance of a zone reads something from the store for this one: a
     * live peer whose name sorts before this one's and whose own last read is recent. If that peer
     * is lost or cannot read, the next one reads, and it stops once an earlier one reads again.
     *
     * @param zone the zone
     * @param readAt when a peer last read it
     * @param limit age from which a read is too old to rely on
     * @param now the time
     * @return true if this instance need not read it
     */
    public boolean isReadByOther(
            String zone, Function<Peer, OptionalLong> readAt, Duration limit, long now) {
        return peers.values().stream()
                .filter(peer -> isLive(peer, now) && !peer.isLeaving())
                .filter(peer -> peer.zone().equals(zone) && peer.name().compareTo(self) < 0)
                .map(readAt)
                .anyMatch(at -> at.isPresent() && now - at.getAsLong() < limit.toNanos());
    }

    /** Whether another instance can take over the work of this one when it retires. */
    public enum SuccessorState {
        /** Another instance of the role stays. */
        PRESENT,
        /**
         * All others are about to stop too, and one whose name sorts before this one's decides to
         * stay.
         */
        PENDING,
        /** No other instance will stay, so this one must. */
        NONE
    }

    /**
     * Returns whether another instance can take over from this one. An instance that is about to
     * stop never counts, since it may rely on this one.
     *
     * @param role the role of this instance
     * @param now the time
     * @return the state of a successor
     */
    public SuccessorState successorState(PeerRole role, long now) {
        List<Peer> others =
                peers.values().stream()
                        .filter(peer -> peer.role() == role && isLive(peer, now))
                        .toList();
        if (others.stream().anyMatch(peer -> !peer.isLeaving())) {
            return SuccessorState.PRESENT;
        }
        return others.stream().anyMatch(peer -> peer.name().compareTo(self) < 0)
                ? SuccessorState.PENDING
                : SuccessorState.NONE;
    }

    /**
     * Returns whether every known peer of a role has reported recently.
     *
     * @param role the role
     * @param now the time
     * @return false if one is silent and not yet removed
     */
    public boolean isEveryPeerLive(PeerRole role, long now) {
        return peers.values().stream()
                .filter(peer -> peer.role() == role)
                .allMatch(peer -> isLive(peer, now));
    }

    /**
     * Returns whether this instance relays reports between its zone and the others.
     *
     * @param role its role
     * @param zone its zone
     * @param now the time
     * @return true if no live peer of the zone precedes it
     */
    public boolean isRelay(PeerRole role, String zone, long now) {
        return relayCandidates(now)
                .filter(peer -> peer.zone().equals(zone))
                .noneMatch(
                        peer ->
                                RELAY_ORDER.compare(relayRank(peer), new RelayRank(role, self))
                                        < 0);
    }

    /**
     * Returns the peers that relay reports in the other zones, one for each zone.
     *
     * @param ownZone the zone to exclude
     * @param now the time
     * @return the peers
     */
    public Collection<Peer> relaysOfOtherZones(String ownZone, long now) {
        return relayCandidates(now)
                .filter(peer -> !peer.zone().equals(ownZone))
                .collect(
                        Collectors.toMap(
                                Peer::zone,
                                Function.identity(),
                                BinaryOperator.minBy(
                                        Comparator.comparing(PeerTable::relayRank, RELAY_ORDER))))
                .values();
    }

    private Stream<Peer> relayCandidates(long now) {
        return peers.values().stream().filter(peer -> isLive(peer, now) && !peer.isLeaving());
    }

    private static RelayRank relayRank(Peer peer) {
        return new RelayRank(peer.role(), peer.name());
    }
}
