package org.sardinelift.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.admission.FairAdmission;
import org.sardinelift.core.admission.ShareDecision;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.ServiceDemand;
import org.sardinelift.protocol.generated.TeamDemand;

/** Tests the section of the reports about demands. */
class FairShareReportsTest {
    private static final String SERVICE = "llm";
    private static final long MS = 1_000_000;

    private final FairShareReports shares = new FairShareReports();
    private final PeerTable peers =
            PeerTable.create("g1", Duration.ofMillis(600), Duration.ofSeconds(40));
    private double calls = 10.5;
    private long now = MS;

    private void enable() {
        shares.enable(
                time -> Map.of(SERVICE, new FairShareReports.Sample(calls, 10, 2)),
                Duration.ofMillis(750));
    }

    private void pass(int ms) {
        for (long end = now + ms * MS; now < end; now += 50 * MS) {
            shares.tick(peers, now);
        }
    }

    private PeerReport fleetReport() {
        PeerReport report = new PeerReport();
        shares.onFleetReport();
        shares.addTo(report, true, now);
        return report;
    }

    private void callsOf(int teams) {
        IntStream.range(0, teams).forEach(i -> decide("team-%04d".formatted(i)));
    }

    private ShareDecision decide(String team) {
        return shares.service(SERVICE)
                .decide(new FairAdmission.Call(team, false, Duration.ofSeconds(1), now), now);
    }

    private void receive(ServiceDemand demand) {
        PeerReport report = new PeerReport();
        report.setDemands(List.of(demand));
        Peer peer =
                new Peer(
                        "g2",
                        "127.0.0.1",
                        1,
                        "z",
                        PeerRole.GATEWAY,
                        1,
                        1,
                        1,
                        false,
                        Set.of(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        0,
                        now,
                        true);
        shares.onReport(peer, report, now);
    }

    /** Guards against bytes in reports of instances that have the feature off. */
    @Test
    void withoutTheSettingNothingIsReportedOrTakenOver() {
        pass(1_000);
        receive(new ServiceDemand(SERVICE, List.of(new TeamDemand("a", 100)), 0, 0));
        assertTrue(shares.onNoRoom(SERVICE, "a", Duration.ofSeconds(1), now).isEmpty());
        assertFalse(fleetReport().isSetDemands());
    }

    /** Guards against reports outside a shortage, and to the zone after each call. */
    @Test
    void onlyReportsToTheFleetInAShortageHaveDemands() {
        enable();
        calls = 9;
        pass(500);
        callsOf(5);
        assertFalse(fleetReport().isSetDemands());
        calls = 10.5;
        pass(500);
        PeerReport zoneReport = new PeerReport();
        shares.addTo(zoneReport, false, now);
        assertFalse(zoneReport.isSetDemands());
        assertTrue(fleetReport().isSetDemands());
        calls = 5;
        pass(1_500);
        assertFalse(fleetReport().isSetDemands());
    }

    /** Guards against state that changes through a report that makes no sense. */
    @Test
    void malformedReportsChangeNothing() {
        enable();
        pass(500);
        receive(new ServiceDemand(SERVICE, List.of(new TeamDemand("a", -100)), 0, 0));
        receive(new ServiceDemand(SERVICE, List.of(new TeamDemand("a", Double.NaN)), 0, 0));
        receive(new ServiceDemand(SERVICE, List.of(), -1, 0));
        receive(new ServiceDemand(SERVICE, List.of(), 1, Double.POSITIVE_INFINITY));
        receive(new ServiceDemand());
        pass(500);
        assertEquals(ShareDecision.Admitted.WITHIN_SHARE, decide("a"));
    }

    /** Guards against reports beyond the size of a datagram; prints the measured bytes. */
    @Test
    void aReportStaysSmallWithManyTeams() throws Exception {
        enable();
        pass(500);
        int before = bytes(new PeerReport());
        for (int teams : new int[] {4, 80, 4_100}) {
            callsOf(teams);
            pass(100);
            int bytes = bytes(fleetReport()) - before;
            System.out.println("bytes of demands of " + teams + " teams: " + bytes);
            assertTrue(bytes <= 2_048, () -> bytes + " bytes");
        }
    }

    private static int bytes(PeerReport report) throws Exception {
        report.setInstance("g1").setZone("z").setRole("gateway").setHost("h");
        report.setUses(List.of()).setTeams(List.of()).setJobs(List.of()).setDeaths(List.of());
        report.setMembers(List.of());
        return new TSerializer(new TCompactProtocol.Factory()).serialize(report).length;
    }
}
