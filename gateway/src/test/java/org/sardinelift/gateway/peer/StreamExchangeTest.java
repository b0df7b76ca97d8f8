package org.sardinelift.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.OriginInquiry.Outcome;
import org.sardinelift.core.resume.RecordedVersions.Known;
import org.sardinelift.core.resume.VersionRecord;
import org.sardinelift.core.resume.VersionRecord.State;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.StreamMessage;

/**
 * Tests the messages between instances about streams. The instances share an event loop; what they
 * send passes a wire that the test can make lossy.
 */
class StreamExchangeTest {
    private static final String SERVICE = "llm";
    private static final SoftwareVersion V1 = new SoftwareVersion(SERVICE, "v1");
    private static final long STREAM = 7;

    private final EventLoop loop = new DefaultEventLoop();
    private final Map<String, StreamExchange> instances = new HashMap<>();
    private final List<Peer> peers = new ArrayList<>();
    private final List<Sent> sent = new CopyOnWriteArrayList<>();
    private volatile Predicate<Sent> isLost = message -> false;

    private record Sent(String from, String to, StreamMessage message) {}

    @BeforeEach
    void open() {
        for (int i = 0; i < 4; i++) {
            start("g" + i, "z" + i % 2);
        }
        onLoop(
                () ->
                        instances.forEach(
                                (name, instance) -> {
                                    peers.stream()
                                            .filter(peer -> !peer.name().equals(name))
                                            .forEach(peer -> instance.onReport(peer, keeping()));
                                    tick(name);
                                }));
    }

    @AfterEach
    void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static PeerReport keeping() {
        PeerReport report = new PeerReport();
        report.setKeepsStreams(true);
        return report;
    }

    private void start(String name, String zone) {
        instances.put(
                name,
                new StreamExchange(
                        name, true, loop, (to, message) -> send(name, to, message), now -> true));
        peers.add(
                new Peer(
                        name,
                        "127.0.0.1",
                        1,
                        zone,
                        PeerRole.GATEWAY,
                        1,
                        1,
                        1,
                        false,
                        Set.of(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        0,
                        0,
                        true));
    }

    private void send(String from, String to, StreamMessage message) {
        Sent datagram = new Sent(from, to, message.deepCopy());
        sent.add(datagram);
        if (!isLost.test(datagram)) {
            loop.execute(() -> instances.get(to).onMessage(datagram.message()));
        }
    }

    private void tick(String name) {
        instances
                .get(name)
                .tick(
                        peers.stream().filter(peer -> !peer.name().equals(name)).toList(),
                        System.nanoTime());
    }

    private void onLoop(Runnable action) {
        CompletableFuture.runAsync(action, loop).join();
    }

    private static RegisteredTarget target(String version) {
        return new RegisteredTarget(
                "i-" + version, SERVICE, "127.0.0.1", 1, "z0", 8, false, 1, version);
    }

    private void listTargets(String... versions) {
        List<RegisteredTarget> targets =
                List.of(versions).stream().map(StreamExchangeTest::target).toList();
        onLoop(() -> instances.values().forEach(instance -> instance.onTargets(targets)));
    }

    private void readRecordWithOneVersion() {
        onLoop(
                () ->
                        instances
                                .values()
                                .forEach(
                                        instance ->
                                                instance.recorded()
                                                        .onRecord(known(), System.nanoTime())));
    }

    private static Known known() {
        return new Known(new VersionRecord(Map.of(V1, State.IN_USE)), 1, System.nanoTime());
    }

    private Outcome inquire(String instance) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        loop.execute(() -> instances.get(instance).inquire(STREAM, SERVICE, outcome::complete));
        return outcome.join();
    }

    @Test
    void withOneVersionNothingIsAnnounced() {
        readRecordWithOneVersion();
        listTargets("v1");

        onLoop(() -> instances.get("g0").onSent(STREAM, V1, 1));
        onLoop(() -> tick("g0"));

        assertTrue(sent.isEmpty());
    }

    @Test
    void streamsThatHaveBegunAreAnnouncedWhenASecondVersionAppears() {
        readRecordWithOneVersion();
        listTargets("v1");
        onLoop(() -> instances.get("g0").onSent(STREAM, V1, 1));

        listTargets("v1", "v2");

        assertEquals(V1, ((Outcome.Known) inquire("g1")).version());
    }

    @Test
    void streamsAreAnnouncedToTwoKeepersInDifferentZones() throws InterruptedException {
        listTargets("v1", "v2");

        onLoop(() -> instances.get("g0").onSent(STREAM, V1, 1));
        TimeUnit.MILLISECONDS.sleep(50);

        assertEquals(2, sent.stream().map(Sent::to).distinct().count());
        assertEquals(
                2,
                peers.stream()
                        .filter(
                                peer ->
                                        sent.stream()
                                                .anyMatch(each -> each.to().equals(peer.name())))
                        .map(Peer::zone)
                        .distinct()
                        .count());
    }

    @Test
    void aQuestionThatIsLostIsAskedAgain() {
        listTargets("v1", "v2");
        onLoop(() -> instances.get("g0").onSent(STREAM, V1, 1));
        List<Sent> lost = new CopyOnWriteArrayList<>();
        isLost =
                datagram -> {
                    boolean isFirst =
                            !datagram.message().getQuestions().isEmpty()
                                    && lost.stream()
                                            .noneMatch(each -> each.to().equals(datagram.to()));
                    if (isFirst) {
                        lost.add(datagram);
                    }
                    return isFirst;
                };

        assertEquals(V1, ((Outcome.Known) inquire("g1")).version());
        assertFalse(lost.isEmpty());
    }

    @Test
    void keepersThatAreAwayAreCountedAsSilent() {
        listTargets("v1", "v2");
        isLost = datagram -> true;

        assertEquals(new Outcome.Unknown(3), inquire("g1"));
    }

    @Test
    void instancesThatDoNotKnowTheMessageGetNeitherAnnouncementsNorQuestions() {
        listTargets("v1", "v2");
        onLoop(
                () -> {
                    StreamExchange first = instances.get("g0");
                    peers.forEach(peer -> first.onReport(peer, new PeerReport()));
                    tick("g0");
                    first.onSent(STREAM, V1, 1);
                });

        assertEquals(new Outcome.Unknown(0), inquire("g0"));
        assertTrue(sent.isEmpty());
    }

    @Test
    void aKeeperThatKnowsOfOnlyOneVersionAnswersWithIt() {
        listTargets("v1");
        onLoop(() -> instances.get("g3").recorded().onRecord(known(), System.nanoTime()));

        assertEquals(Optional.empty(), instances.get("g1").soleVersion(SERVICE));
        assertEquals(new Outcome.Known(V1, "g3"), inquire("g1"));
    }

    @Test
    void aMessageThatLacksAPartIsDropped() {
        onLoop(() -> instances.get("g0").onMessage(new StreamMessage()));

        assertTrue(sent.isEmpty());
    }
}
