package org.sardinelift.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.protocol.generated.EvacuationList;
import org.sardinelift.protocol.generated.PeerReport;

/** Guards against malformed reports that change what is known, and against reports that grow. */
class EvacuationReportsTest {
    private static final int MAX_BYTES_WITHOUT_NAMES = 24;

    private final PeerTable peers =
            PeerTable.create("g-2", Duration.ofMillis(600), Duration.ofSeconds(40));
    private final List<String> ended = new ArrayList<>();
    private final List<Consumer<ListResult>> pendingLists = new ArrayList<>();
    private EvacuationReports reports;
    private int changesRead;

    @BeforeEach
    void create() {
        reports =
                EvacuationReports.of(settings(Optional.of(Duration.ofSeconds(5))), this::onChange)
                        .orElseThrow();
        reports.addListener(ended::add);
        reports.setLister(pendingLists::add);
    }

    private void onChange() {
        changesRead++;
    }

    private static NodeSettings settings(Optional<Duration> evacuationTime) {
        return new NodeSettings(
                "g-2",
                "z1",
                new Endpoint("127.0.0.1", 1),
                List.of(),
                new Endpoint("127.0.0.1", 1),
                Duration.ofSeconds(1),
                1,
                Duration.ofSeconds(8),
                5,
                true,
                false,
                evacuationTime);
    }

    private static Peer peer(String name) {
        return new Peer(
                name,
                "host",
                1,
                "z1",
                PeerRole.GATEWAY,
                1,
                1,
                0,
                false,
                Set.of(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0,
                System.nanoTime(),
                true);
    }

    private void onReport(EvacuationList list) {
        PeerReport report = new PeerReport();
        report.setEvacuations(list);
        reports.onReport(peer("g-1"), report, System.nanoTime());
    }

    private void onListed(long revision, String... zones) {
        reports.tick(peers, System.nanoTime());
        List<StoredObject> objects =
                Stream.of(zones)
                        .map(
                                zone ->
                                        new StoredObject(
                                                new ObjectKey("evacuations", zone), 1, 1, "{}"))
                        .toList();
        pendingLists.remove(0).accept(new ListResult.Listed(revision, objects));
    }

    private PeerReport newReport() {
        PeerReport report = new PeerReport();
        reports.addTo(report, true, System.nanoTime());
        return report;
    }

    @Test
    void withoutTheSettingThereIsNoSection() {
        assertTrue(EvacuationReports.of(settings(Optional.empty()), () -> {}).isEmpty());
    }

    @Test
    void malformedReportsAndListsThatFailKeepWhatIsKnown() {
        onReport(new EvacuationList(List.of("z1"), 100, 20));
        assertTrue(reports.state().isEvacuated("z1"));

        onReport(new EvacuationList().setRevision(200).setAgeMs(1));
        onReport(new EvacuationList(List.of(), -1, 20));
        onReport(new EvacuationList(List.of(), 300, -20));
        onReport(new EvacuationList(List.of(), 99, 20));
        reports.tick(peers, System.nanoTime());
        pendingLists.remove(0).accept(new ListResult.Unavailable("status 503"));

        assertTrue(reports.state().isEvacuated("z1"));
        assertEquals(List.of(), ended);
        assertEquals(100, reports.state().current().orElseThrow().revision());
        onReport(new EvacuationList(List.of("z2", "z2"), 400, Long.MAX_VALUE));
        assertTrue(reports.state().isEvacuated("z2"));
        assertEquals(List.of("z1"), ended);
    }

    @Test
    void listenersAreNotifiedOnceOfTheEndAndPeersOfWhatWasRead() {
        onListed(100, "z1", "z2");
        assertEquals(1, changesRead);
        onReport(new EvacuationList(List.of("z2"), 101, 20));
        onReport(new EvacuationList(List.of("z2"), 101, 10));

        assertEquals(List.of("z1"), ended);
        assertEquals(1, changesRead);
    }

    @Test
    void targetsAreReadAfterTheFirstListEvenIfItFails() {
        List<String> run = new ArrayList<>();
        reports.runAfterFirstList(() -> run.add("first"));
        reports.tick(peers, System.nanoTime());
        assertEquals(List.of(), run);

        pendingLists.remove(0).accept(new ListResult.Unavailable("down"));

        reports.runAfterFirstList(() -> run.add("second"));
        assertEquals(List.of("first", "second"), run);
    }

    @Test
    void namesTooLongForADatagramAreNotReportedInPart() {
        String[] zones =
                IntStream.range(0, 900).mapToObj(i -> "some-zone-" + i).toArray(String[]::new);
        onListed(100, zones);

        assertTrue(reports.state().isEvacuated("some-zone-899"));
        assertFalse(newReport().isSetEvacuations());
    }

    @Test
    void theListTakesFewBytesOfAReport() throws TException {
        int without = bytes(new PeerReport());
        onListed(50_000_000, "zone-a");
        PeerReport one = newReport();
        PeerReport none = new PeerReport(one);
        none.setEvacuations(new EvacuationList(List.of(), 50_000_000, 900));

        assertTrue(bytes(none) - without <= MAX_BYTES_WITHOUT_NAMES, bytes(none) + " bytes");
        assertTrue(bytes(one) - without <= MAX_BYTES_WITHOUT_NAMES + "zone-a".length() + 1);
    }

    private static int bytes(PeerReport report) throws TException {
        PeerReport whole = new PeerReport(report);
        whole.setInstance("g");
        return new TSerializer(new TCompactProtocol.Factory()).serialize(whole).length;
    }
}
