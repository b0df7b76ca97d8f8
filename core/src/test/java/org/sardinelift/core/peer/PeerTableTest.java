package org.sardinelift.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerTableTest {
    private static final long MILLI = 1_000_000;

    private final PeerTable book =
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
    void anOldReportOfOneLifeIsDropped() {
        assertEquals(PeerTable.ReportResult.JOINED, book.onReport(report("a", 1, 5, 0)));
        assertEquals(PeerTable.ReportResult.STALE, book.onReport(report("a", 1, 5, 1)));
        assertEquals(PeerTable.ReportResult.STALE, book.onReport(report("a", 1, 4, 1)));
        assertEquals(PeerTable.ReportResult.KNOWN, book.onReport(report("a", 1, 6, 2)));
    }

    @Test
    void anewLifeBeginsItsCountAnew() {
        book.onReport(report("a", 1, 500, 0));

        assertEquals(PeerTable.ReportResult.JOINED, book.onReport(report("a", 2, 1, 1)));
        assertEquals(PeerTable.ReportResult.STALE, book.onReport(report("a", 1, 501, 2)));
    }

    @Test
    void aSilentPeerIsLostAndJoinsAgain() {
        book.onReport(report("a", 1, 1, 0));

        assertEquals(1, book.livePeers(PeerRole.WORKER, 599 * MILLI).count());
        assertEquals(0, book.livePeers(PeerRole.WORKER, 600 * MILLI).count());
        assertEquals(PeerTable.ReportResult.JOINED, book.onReport(report("a", 1, 2, 700)));
    }

    @Test
    void anAddressAloneMakesNoLivePeer() {
        assertTrue(book.onAddress("a", "10.0.0.1", 7000, 0));
        assertFalse(book.onAddress("a", "10.0.0.1", 7000, 0));
        assertFalse(book.onAddress("self", "10.0.0.1", 7000, 0));

        assertEquals(1, book.all().size());
        assertEquals(0, book.livePeers(PeerRole.GATEWAY, 0).count());
    }

    @Test
    void aLostPeerMayHaveMoved() {
        book.onReport(report("a", 1, 1, 0));
        book.onAddress("a", "10.0.0.9", 7000, 100 * MILLI);
        assertEquals("10.0.0.1", book.all().iterator().next().host());

        book.onAddress("a", "10.0.0.9", 7000, 700 * MILLI);
        assertEquals("10.0.0.9", book.all().iterator().next().host());
    }

    @Test
    void peersOfTheZoneAreAskedFirst() {
        book.onReport(report("a", 1, 1, 0));
        book.onReport(report("b", 1, 1, 0));
        book.onReport(report("c", 1, 1, 0));

        assertEquals("b", book.inPreferenceOrder(PeerRole.WORKER, "zone-b", 1, 0).get(0).name());
        assertEquals(3, book.inPreferenceOrder(PeerRole.WORKER, "zone-b", 1, 0).size());
    }

    @Test
    void silentPeersAreForgottenInTheEnd() {
        book.onReport(report("a", 1, 1, 0));

        assertEquals(List.of(), book.removeSilent(39_999 * MILLI));
        assertEquals(List.of("a"), book.removeSilent(40_000 * MILLI));
    }

    private boolean isReadByOther(String zone, long atMs) {
        return book.isReadByOther(zone, Peer::planReadAt, Duration.ofMillis(500), atMs * MILLI);
    }

    @Test
    void oneInstanceOfAZoneReadsForTheOthers() {
        book.onReport(report("a", 1, 1, 100, OptionalLong.of(50 * MILLI)));

        assertTrue(isReadByOther("zone-a", 100));
        assertFalse(isReadByOther("zone-b", 100));
        assertFalse(isReadByOther("zone-a", 550), "its read is too old");
    }

    @Test
    void thoseThatComeLaterOrDoNotReadThemselvesAreNotReliedOn() {
        book.onReport(report("z", 1, 1, 100, OptionalLong.of(50 * MILLI)));
        book.onReport(report("a", 1, 1, 100));

        assertFalse(isReadByOther("zone-z", 100));
        assertFalse(isReadByOther("zone-a", 100));
    }

    @Test
    void aLostReaderIsNotReliedOn() {
        book.onReport(report("a", 1, 1, 100, OptionalLong.of(100 * MILLI)));

        assertTrue(
                book.isReadByOther("zone-a", Peer::planReadAt, Duration.ofSeconds(5), 699 * MILLI));
        assertFalse(
                book.isReadByOther("zone-a", Peer::planReadAt, Duration.ofSeconds(5), 700 * MILLI));
    }

    @Test
    void theNewestConfigurationIsFound() {
        book.onReport(report("a", 1, 1, 0));

        assertTrue(book.withNewerPlan(2, 0).isPresent());
        assertTrue(book.withNewerPlan(3, 0).isEmpty());
        assertTrue(book.withNewerPlan(2, 600 * MILLI).isEmpty());
    }

    private static Peer inZone(String name, PeerRole role, String zone, boolean leaving) {
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
    void oneInstanceOfAZoneRelaysAndWorkersGoFirst() {
        book.onReport(inZone("a-gateway", PeerRole.GATEWAY, "here", false));

        assertTrue(book.isRelay(PeerRole.WORKER, "here", 0));
        assertFalse(book.isRelay(PeerRole.GATEWAY, "here", 0), "a-gateway comes before self");
        assertTrue(book.isRelay(PeerRole.GATEWAY, "there", 0));

        book.onReport(inZone("z-worker", PeerRole.WORKER, "here", false));
        assertTrue(book.isRelay(PeerRole.WORKER, "here", 0));
        assertFalse(book.isRelay(PeerRole.GATEWAY, "here", 0));
    }

    @Test
    void aLostOrLeavingInstanceRelaysNothing() {
        book.onReport(inZone("a-worker", PeerRole.WORKER, "here", true));
        assertTrue(book.isRelay(PeerRole.GATEWAY, "here", 0));

        book.onReport(inZone("b-worker", PeerRole.WORKER, "here", false));
        assertFalse(book.isRelay(PeerRole.GATEWAY, "here", 599 * MILLI));
        assertTrue(book.isRelay(PeerRole.GATEWAY, "here", 600 * MILLI));
    }

    @Test
    void aSilentPeerIsMissedUntilItIsForgotten() {
        assertTrue(book.isEveryPeerLive(PeerRole.WORKER, 0));
        book.onReport(report("a", 1, 1, 0));
        book.onReport(report("b", 1, 1, 0));
        book.onReport(report("b", 1, 2, 700));

        assertTrue(book.isEveryPeerLive(PeerRole.WORKER, 599 * MILLI));
        assertFalse(book.isEveryPeerLive(PeerRole.WORKER, 700 * MILLI));
        assertTrue(book.isEveryPeerLive(PeerRole.GATEWAY, 700 * MILLI));

        book.removeSilent(40_100 * MILLI);
        book.onReport(report("b", 1, 3, 40_100));
        assertTrue(book.isEveryPeerLive(PeerRole.WORKER, 40_100 * MILLI));
    }

    @Test
    void theLastOfARoleIsAlone() {
        assertEquals(PeerTable.SuccessorState.NONE, book.successorState(PeerRole.WORKER, 0));
        book.onReport(inZone("a-gateway", PeerRole.GATEWAY, "here", false));
        assertEquals(PeerTable.SuccessorState.NONE, book.successorState(PeerRole.WORKER, 0));

        book.onReport(inZone("z-worker", PeerRole.WORKER, "here", false));
        assertEquals(
                PeerTable.SuccessorState.PRESENT,
                book.successorState(PeerRole.WORKER, 599 * MILLI));
        assertEquals(
                PeerTable.SuccessorState.NONE, book.successorState(PeerRole.WORKER, 600 * MILLI));
    }

    /** One that has gone already still shows as about to go for a while. */
    @Test
    void anInstanceThatIsAboutToGoIsNoSuccessor() {
        book.onReport(inZone("a-worker", PeerRole.WORKER, "here", true));

        assertEquals(PeerTable.SuccessorState.PENDING, book.successorState(PeerRole.WORKER, 0));
    }

    @Test
    void ofThoseAboutToGoTheFirstStays() {
        book.onReport(inZone("z-worker", PeerRole.WORKER, "here", true));

        assertEquals(PeerTable.SuccessorState.NONE, book.successorState(PeerRole.WORKER, 0));
    }

    @Test
    void eachOtherZoneHasOneRelay() {
        book.onReport(inZone("a-gateway", PeerRole.GATEWAY, "north", false));
        book.onReport(inZone("b-worker", PeerRole.WORKER, "north", false));
        book.onReport(inZone("c-gateway", PeerRole.GATEWAY, "south", false));
        book.onReport(inZone("d-gateway", PeerRole.GATEWAY, "south", false));
        book.onReport(inZone("e-worker", PeerRole.WORKER, "here", false));

        List<String> relays =
                book.relaysOfOtherZones("here", 0).stream().map(Peer::name).sorted().toList();

        assertEquals(List.of("b-worker", "c-gateway"), relays);
    }
}
