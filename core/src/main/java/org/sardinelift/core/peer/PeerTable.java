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
 * The instances known to this one and which of them are live. Times are nanoseconds of a monotonic
 * clock. Not safe for use by several threads at once.
 */
public final class PeerTable {
    /** Workers go first: they have no callers who wait. */
    private static final Comparator<RelayRank> RELAY_ORDER =
            Comparator.comparing((RelayRank rank) -> rank.role() != PeerRole.WORKER)
                    .thenComparing(RelayRank::name);

    private record RelayRank(PeerRole role, String name) {}

    private final String self;
    private final long silenceNanos;
    private final long forgetNanos;
    private final Map<String, Peer> peers = new HashMap<>();

    private PeerTable(String self, Duration silence, Duration forget) {
        this.self = self;
        this.silenceNanos = silence.toNanos();
        this.forgetNanos = forget.toNanos();
    }

    /**
     * A book without peers.
     *
     * @param self name of this instance
     * @param silence time without a report after which a peer counts as lost
     * @param forget time without a report after which a peer is forgotten
     * @return the book
     */
    public static PeerTable create(String self, Duration silence, Duration forget) {
        return new PeerTable(self, silence, forget);
    }

    /**
     * The address of an instance was learned from elsewhere than a report of its own.
     *
     * @param name its name
     * @param host IP address
     * @param port port
     * @param now the time
     * @return whether it was unknown
     */
    public boolean onAddress(String name, String host, int port, long now) {
        if (name.equals(self)) {
            return false;
        }
        Peer known = peers.get(name);
        boolean lost = known != null && !isLive(known, now);
        if (known == null) {
            peers.put(name, Peer.ofAddress(name, host, port, now));
        } else if (lost) {
            peers.put(name, known.at(host, port));
        }
        return known == null;
    }

    /** What a report told. */
    public enum ReportResult {
        /** It is older than one that came before. */
        STALE,
        /** A known peer goes on. */
        KNOWN,
        /** The peer was unknown, lost, or has started anew. */
        JOINED
    }

    /**
     * Takes a report.
     *
     * @param report the peer as it shows itself
     * @return what it told
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
        boolean joined =
                known == null
                        || !known.hasReported()
                        || known.incarnation() != report.incarnation()
                        || report.lastReportAt() - known.lastReportAt() >= silenceNanos;
        return joined ? ReportResult.JOINED : ReportResult.KNOWN;
    }

    private static boolean isOlder(Peer report, Peer known) {
        return report.incarnation() < known.incarnation()
                || report.incarnation() == known.incarnation()
                        && report.sequence() <= known.sequence();
    }

    /**
     * Forgets the peers that have been silent for long.
     *
     * @param now the time
     * @return names of those forgotten
     */
    public List<String> removeSilent(long now) {
        List<String> gone =
                peers.values().stream()
                        .filter(peer -> now - peer.lastReportAt() >= forgetNanos)
                        .map(Peer::name)
                        .toList();
        gone.forEach(peers::remove);
        return gone;
    }

    /**
     * Whether a peer has reported lately.
     *
     * @param peer the peer
     * @param now the time
     * @return true within the silence bound
     */
    public boolean isLive(Peer peer, long now) {
        return peer.hasReported() && now - peer.lastReportAt() < silenceNanos;
    }

    /**
     * All peers, live or not.
     *
     * @return the peers
     */
    public Collection<Peer> all() {
        return peers.values();
    }

    /**
     * The live peers of a role that aren't about to stop.
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
     * Peers to ask, in the order in which they are to be tried: those of a zone first, each group
     * in an order of its own for each draw.
     *
     * @param role the role
     * @param zone the zone preferred
     * @param draw number spread evenly over the calls
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
     * Whether another instance of a zone reads something from the store for this one: a live peer
     * whose name comes before this one's and whose own last read is recent. Where that peer is lost
     * or can't read, the next one reads, and each goes back when it sees an earlier one read again.
     *
     * @param zone the zone
     * @param readAt when a peer read it last
     * @param limit age from which a read is too old to rely on
     * @param now the time
     * @return true where this instance need not read it
     */
    public boolean isReadByOther(
            String zone, Function<Peer, OptionalLong> readAt, Duration limit, long now) {
        return peers.values().stream()
                .filter(peer -> isLive(peer, now) && !peer.isLeaving())
                .filter(peer -> peer.zone().equals(zone) && peer.name().compareTo(self) < 0)
                .map(readAt)
                .anyMatch(at -> at.isPresent() && now - at.getAsLong() < limit.toNanos());
    }

    /** Whether the work of an instance that is to go for good has somebody to go to. */
    public enum SuccessorState {
        /** Another instance of the role stays. */
        PRESENT,
        /** All others are about to go as well, and one whose name comes first decides to stay. */
        PENDING,
        /** Nobody else will stay, so that this instance must. */
        NONE
    }

    /**
     * Who can take over from this instance. An instance that is about to go never counts: it may
     * have relied on this one.
     *
     * @param role the role of this instance
     * @param now the time
     * @return what is known of the others
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
     * Whether every known peer of a role has reported lately.
     *
     * @param role the role
     * @param now the time
     * @return false where one is silent and not yet forgotten
     */
    public boolean isEveryPeerLive(PeerRole role, long now) {
        return peers.values().stream()
                .filter(peer -> peer.role() == role)
                .allMatch(peer -> isLive(peer, now));
    }

    /**
     * Whether this instance passes reports on between its zone and the others.
     *
     * @param role its role
     * @param zone its zone
     * @param now the time
     * @return true where no live peer of the zone comes before it
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
     * The instances that pass reports on in the other zones, one for each.
     *
     * @param ownZone the zone left out
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

    /**
     * The live peer with the newest configuration, where it is newer than a version.
     *
     * @param version the version held
     * @param now the time
     * @return the peer, or empty
     */
    public Optional<Peer> withNewerPlan(long version, long now) {
        return peers.values().stream()
                .filter(peer -> isLive(peer, now) && peer.planVersion() > version)
                .max(Comparator.comparingLong(Peer::planVersion));
    }
}
