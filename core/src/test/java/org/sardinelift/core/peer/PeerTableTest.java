package org.sardinelift.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Lost, restarted and leaving peers must be recognized, so that each task has one instance that
 * does it.
 */
class PeerTableTest {
    private static final long MILLI = 1_000_000;

    private final PeerTable peers =
            PeerTable.create("self", Duration.ofMillis(600), Duration.ofSeconds(40));

    private static Peer report(String name, long incarnation, long sequence, long atMs) {
        return report(name, incarnation, sequence, atMs, OptionalLong.empty());
    }

    private static Peer report(
            String name, long incarnation, long sequence, long atMs, OptionalLong readAt) {
        return new Peer(
                name,
                "10.0.0.1",
                7000,
                "zone-" + name,
                PeerRole.WORKER,
                incarnation,
                sequence,
                3,
                false,
                Set.of(),
                readAt,
                OptionalLong.empty(),
                0,
                atMs * MILLI,
                true);
    }

    @Test
    void anOldReportOfAnIncarnationIsDropped() {
        assertEquals(PeerTable.ReportResult.JOINED, peers.onReport(report("a", 1, 5, 0)));
        assertEquals(PeerTable.ReportResult.STALE, peers.onReport(report("a", 1, 5, 1)));
        assertEquals(PeerTable.ReportResult.STALE, peers.onReport(report("a", 1, 4, 1)));
        assertEquals(PeerTable.ReportResult.KNOWN, peers.onReport(report("a", 1, 6, 2)));
    }

    @Test
    void aNewIncarnationRestartsItsSequence() {
        peers.onReport(report("a", 1, 500, 0));

        assertEquals(PeerTable.ReportResult.JOINED, peers.onReport(report("a", 2, 1, 1)));
        assertEquals(PeerTable.ReportResult.STALE, peers.onReport(report("a", 1, 501, 2)));
    }

    @Test
    void aSilentPeerIsLostAndJoinsAgain() {
        peers.onReport(report("a", 1, 1, 0));

        assertEquals(1, peers.livePeers(PeerRole.WORKER, 599 * MILLI).count());
        assertEquals(0, peers.livePeers(PeerRole.WORKER, 600 * MILLI).count());
        assertEquals(PeerTable.ReportResult.JOINED, peers.onReport(report("a", 1, 2, 700)));
    }

    @Test
    void aPeerKnownByAddressOnlyIsNotLive() {
        assertTrue(peers.onAddress("a", "10.0.0.1", 7000, 0));
        assertFalse(peers.onAddress("a", "10.0.0.1", 7000, 0));
        assertFalse(peers.onAddress("self", "10.0.0.1", 7000, 0));

        assertEquals(1, peers.all().size());
        assertEquals(0, peers.livePeers(PeerRole.GATEWAY, 0).count());
    }

    @Test
    void theAddressOfALostPeerMayChange() {
        peers.onReport(report("a", 1, 1, 0));
        peers.onAddress("a", "10.0.0.9", 7000, 100 * MILLI);
        assertEquals("10.0.0.1", peers.all().iterator().next().host());

        peers.onAddress("a", "10.0.0.9", 7000, 700 * MILLI);
        assertEquals("10.0.0.9", peers.all().iterator().next().host());
    }

    @Test
    void peersOfTheZoneAreTriedFirst() {
        peers.onReport(report("a", 1, 1, 0));
        peers.onReport(report("b", 1, 1, 0));
        peers.onReport(report("c", 1, 1, 0));

        assertEquals("b", peers.inPreferenceOrder(PeerRole.WORKER, "zone-b", 1, 0).get(0).name());
        assertEquals(3, peers.inPreferenceOrder(PeerRole.WORKER, "zone-b", 1, 0).size());
    }

    @Test
    void silentPeersAreRemovedAfterTheTimeout() {
        peers.onReport(report("a", 1, 1, 0));

        assertEquals(List.of(), peers.removeSilent(39_999 * MILLI));
        assertEquals(List.of("a"), peers.removeSilent(40_000 * MILLI));
    }

    private boolean isReadByOther(String zone, long atMs) {
        return peers.isReadByOther(zone, Peer::planReadAt, Duration.ofMillis(500), atMs * MILLI);
    }

    @Test
    void oneInstanceOfAZoneReadsForTheOthers() {
        peers.onReport(report("a", 1, 1, 100, OptionalLong.of(50 * MILLI)));

        assertTrue(isReadByOther("zone-a", 100));
        assertFalse(isReadByOther("zone-b", 100));
        assertFalse(isReadByOther("zone-a", 550), "its read is too old");
    }

    @Test
    void laterPeersAndPeersThatDoNotReadAreNotReliedOn() {
        peers.onReport(report("z", 1, 1, 100, OptionalLong.of(50 * MILLI)));
        peers.onReport(report("a", 1, 1, 100));

        assertFalse(isReadByOther("zone-z", 100));
        assertFalse(isReadByOther("zone-a", 100));
    }

    @Test
    void aLostReaderIsNotReliedOn() {
        peers.onReport(report("a", 1, 1, 100, OptionalLong.of(100 * MILLI)));

        assertTrue(
                peers.isReadByOther(
                        "zone-a", Peer::planReadAt, Duration.ofSeconds(5), 699 * MILLI));
        assertFalse(
                peers.isReadByOther(
                        "zone-a", Peer::planReadAt, Duration.ofSeconds(5), 700 * MILLI));
    }

    private static Peer peerInZone(String name, PeerRole role, String zone, boolean leaving) {
        return new Peer(
                name,
                "10.0.0.1",
                7000,
                zone,
                role,
                1,
                1,
                3,
                leaving,
                Set.of(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0,
                0,
                true);
    }

    @Test
    void oneInstanceOfAZoneRelaysAndWorkersPrecedeGateways() {
        peers.onReport(peerInZone("a-gateway", PeerRole.GATEWAY, "here", false));

        assertTrue(peers.isRelay(PeerRole.WORKER, "here", 0));
        assertFalse(peers.isRelay(PeerRole.GATEWAY, "here", 0), "a-gateway comes before self");
        assertTrue(peers.isRelay(PeerRole.GATEWAY, "there", 0));

        peers.onReport(peerInZone("z-worker", PeerRole.WORKER, "here", false));
        assertTrue(peers.isRelay(PeerRole.WORKER, "here", 0));
        assertFalse(peers.isRelay(PeerRole.GATEWAY, "here", 0));
    }

    @Test
    void aLostOrLeavingInstanceRelaysNothing() {
        peers.onReport(peerInZone("a-worker", PeerRole.WORKER, "here", true));
        assertTrue(peers.isRelay(PeerRole.GATEWAY, "here", 0));

        peers.onReport(peerInZone("b-worker", PeerRole.WORKER, "here", false));
        assertFalse(peers.isRelay(PeerRole.GATEWAY, "here", 599 * MILLI));
        assertTrue(peers.isRelay(PeerRole.GATEWAY, "here", 600 * MILLI));
    }

    @Test
    void aSilentPeerCountsAsNotLiveUntilItIsRemoved() {
        assertTrue(peers.isEveryPeerLive(PeerRole.WORKER, 0));
        peers.onReport(report("a", 1, 1, 0));
        peers.onReport(report("b", 1, 1, 0));
        peers.onReport(report("b", 1, 2, 700));

        assertTrue(peers.isEveryPeerLive(PeerRole.WORKER, 599 * MILLI));
        assertFalse(peers.isEveryPeerLive(PeerRole.WORKER, 700 * MILLI));
        assertTrue(peers.isEveryPeerLive(PeerRole.GATEWAY, 700 * MILLI));

        peers.removeSilent(40_100 * MILLI);
        peers.onReport(report("b", 1, 3, 40_100));
        assertTrue(peers.isEveryPeerLive(PeerRole.WORKER, 40_100 * MILLI));
    }

    @Test
    void theLastInstanceOfARoleHasNoSuccessor() {
        assertEquals(PeerTable.SuccessorState.NONE, peers.successorState(PeerRole.WORKER, 0));
        peers.onReport(peerInZone("a-gateway", PeerRole.GATEWAY, "here", false));
        assertEquals(PeerTable.SuccessorState.NONE, peers.successorState(PeerRole.WORKER, 0));

        peers.onReport(peerInZone("z-worker", PeerRole.WORKER, "here", false));
        assertEquals(
                PeerTable.SuccessorState.PRESENT,
                peers.successorState(PeerRole.WORKER, 599 * MILLI));
        assertEquals(
                PeerTable.SuccessorState.NONE, peers.successorState(PeerRole.WORKER, 600 * MILLI));
    }

    /** An instance that has stopped is still known as leaving for a while. */
    @Test
    void aLeavingInstanceIsNoSuccessor() {
        peers.onReport(peerInZone("a-worker", PeerRole.WORKER, "here", true));

        assertEquals(PeerTable.SuccessorState.PENDING, peers.successorState(PeerRole.WORKER, 0));
    }

    @Test
    void theFirstOfTheLeavingInstancesStays() {
        peers.onReport(peerInZone("z-worker", PeerRole.WORKER, "here", true));

        assertEquals(PeerTable.SuccessorState.NONE, peers.successorState(PeerRole.WORKER, 0));
    }

    @Test
    void eachOtherZoneHasOneRelay() {
        peers.onReport(peerInZone("a-gateway", PeerRole.GATEWAY, "north", false));
        peers.onReport(peerInZone("b-worker", PeerRole.WORKER, "north", false));
        peers.onReport(peerInZone("c-gateway", PeerRole.GATEWAY, "south", false));
        peers.onReport(peerInZone("d-gateway", PeerRole.GATEWAY, "south", false));
        peers.onReport(peerInZone("e-worker", PeerRole.WORKER, "here", false));

        List<String> relays =
                peers.relaysOfOtherZones("here", 0).stream().map(Peer::name).sorted().toList();

        assertEquals(List.of("b-worker", "c-gateway"), relays);
    }
}
