package org.sardinelift.standins.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.net.BindException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.objects.HttpObjectStore;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.standins.EventLoops;

/**
 * Runs the platform client against the platform stand-in. Guards against a result that claims more
 * than is known when answers or requests are lost, refused, stale or late.
 */
final class HttpObjectStoreTest {
    private static final ObjectKey TEAM = new ObjectKey("team", "patrol/Ūdens & co");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private EventLoopGroup group;
    private PlatformStandin platform;
    private ObjectStore store;

    @BeforeEach
    void start() throws BindException {
        group = EventLoops.start("test", 1);
        platform = PlatformStandin.start(PlatformOptions.defaults());
        store = connect(platform.port());
    }

    @AfterEach
    void stop() {
        platform.close();
        EventLoops.stop(group);
    }

    @Test
    void writesOnlyOverTheExpectedVersion() {
        assertEquals(new WriteResult.Written(1, 1), store.write(TEAM, 0, "a").join());
        assertEquals(new WriteResult.Conflict(1), store.write(TEAM, 0, "b").join());
        assertEquals(new WriteResult.Written(2, 2), store.write(TEAM, 1, "c").join());
        ReadResult.Found found = (ReadResult.Found) store.read(TEAM).join();
        assertEquals(List.of("c", 2L), List.of(found.object().value(), found.object().version()));
        assertEquals(TEAM, found.object().key());
        assertInstanceOf(WriteResult.Written.class, store.delete(TEAM, 2).join());
        assertEquals(new ReadResult.Absent(3), store.read(TEAM).join());
    }

    @Test
    void listsByPrefix() {
        List.of("a/1", "a/2", "b/1")
                .forEach(name -> store.write(new ObjectKey("job", name), 0, name).join());
        ListResult.Listed listed = (ListResult.Listed) store.list("job", "a/").join();
        assertEquals(
                List.of("a/1", "a/2"),
                listed.objects().stream().map(object -> object.key().name()).toList());
        assertEquals(3, listed.revision());
    }

    @Test
    void aLostAnswerIsUnclearThoughTheWriteTookEffect() {
        platform.setFaults(Faults.parse("{\"loseAnswers\":1}"));
        assertInstanceOf(WriteResult.Unclear.class, store.write(TEAM, 0, "a").join());
        assertInstanceOf(ReadResult.Found.class, store.read(TEAM).join());
        assertEquals(new WriteResult.Conflict(1), store.write(TEAM, 0, "a").join());
    }

    @Test
    void aCutConnectionIsUnclearAndARefusalIsNotWritten() {
        platform.setFaults(Faults.parse("{\"down\":true}"));
        assertInstanceOf(WriteResult.Unclear.class, store.write(TEAM, 0, "a").join());
        assertInstanceOf(ReadResult.Unavailable.class, store.read(TEAM).join());
        platform.setFaults(Faults.parse("{\"refuse\":true}"));
        assertInstanceOf(WriteResult.NotWritten.class, store.write(TEAM, 0, "a").join());
        platform.setFaults(Faults.none());
        assertEquals(new ReadResult.Absent(0), store.read(TEAM).join());
    }

    @Test
    void aLostRequestIsUnclearAndHadNoEffect() {
        platform.setFaults(Faults.parse("{\"loseRequests\":1}"));
        assertInstanceOf(WriteResult.Unclear.class, store.write(TEAM, 0, "a").join());
        assertEquals(new WriteResult.Written(1, 1), store.write(TEAM, 0, "a").join());
    }

    @Test
    void aWatchThatWaitsWhenTheOutageBeginsGetsNoAnswer() {
        CompletableFuture<WatchResult> watch =
                store.watch(Set.of("team"), 0, Duration.ofMillis(1_500));
        await().until(() -> calls().contains("watch"));
        platform.setFaults(Faults.parse("{\"down\":true}"));
        assertInstanceOf(WatchResult.Unavailable.class, watch.join());
    }

    @Test
    void aSilentPlatformLeavesAWriteUnclear() {
        platform.setFaults(Faults.parse("{\"silent\":true}"));
        ObjectStore shortTimeoutStore = connect(platform.port(), Duration.ofMillis(100));
        assertInstanceOf(WriteResult.Unclear.class, shortTimeoutStore.write(TEAM, 0, "a").join());
        assertInstanceOf(ReadResult.Unavailable.class, shortTimeoutStore.read(TEAM).join());
        platform.setFaults(Faults.none());
        assertEquals(new ReadResult.Absent(0), store.read(TEAM).join());
    }

    @Test
    void aWriteToAClosedPortIsNotWritten() {
        int port = platform.port();
        platform.close();
        assertInstanceOf(WriteResult.NotWritten.class, connect(port).write(TEAM, 0, "a").join());
    }

    @Test
    void staleReadsReturnThePreviousVersion() {
        store.write(TEAM, 0, "a").join();
        store.write(TEAM, 1, "b").join();
        platform.setFaults(Faults.parse("{\"staleReads\":true}"));
        assertEquals("a", ((ReadResult.Found) store.read(TEAM).join()).object().value());
        ListResult.Listed listed = (ListResult.Listed) store.list("team", "").join();
        assertEquals("a", listed.objects().get(0).value());
        assertEquals(new WriteResult.Conflict(2), store.write(TEAM, 1, "c").join());
    }

    @Test
    void anAnswerThatComesTooLateLeavesAWriteUnclear() {
        platform.setFaults(Faults.parse("{\"slowMs\":2000}"));
        ObjectStore shortTimeoutStore = connect(platform.port(), Duration.ofMillis(100));
        assertInstanceOf(WriteResult.Unclear.class, shortTimeoutStore.write(TEAM, 0, "a").join());
        platform.setFaults(Faults.none());
        await().until(() -> store.read(TEAM).join() instanceof ReadResult.Found);
    }

    @Test
    void aWaitingWatchIsAnsweredByTheNextChangeOfItsKinds() {
        CompletableFuture<WatchResult> watch = store.watch(Set.of("team"), 0, TIMEOUT);
        store.write(new ObjectKey("job", "j"), 0, "x").join();
        store.write(TEAM, 0, "a").join();
        WatchResult.Changes changes = (WatchResult.Changes) watch.join();
        assertEquals(List.of(TEAM), changes.changes().stream().map(each -> each.key()).toList());
        assertEquals(2, changes.revision());
    }

    @Test
    void aWatchFromACompactedRevisionReportsAGap() {
        store.write(TEAM, 0, "a").join();
        platform.compact();
        assertInstanceOf(
                WatchResult.Gap.class, store.watch(Set.of("team"), 0, Duration.ZERO).join());
        assertEquals(
                new WatchResult.Changes(1, List.of()),
                store.watch(Set.of("team"), 1, Duration.ZERO).join());
    }

    @Test
    void callsOverTheRateAreNotWritten() throws BindException {
        try (PlatformStandin limited =
                PlatformStandin.start(PlatformOptions.defaults().withRates(2, 2))) {
            ObjectStore client = connect(limited.port());
            List<WriteResult> results =
                    List.of("1", "2", "3", "4", "5", "6", "7", "8").stream()
                            .map(name -> client.write(new ObjectKey("job", name), 0, name))
                            .map(CompletableFuture::join)
                            .toList();
            assertTrue(results.stream().anyMatch(WriteResult.NotWritten.class::isInstance));
            assertTrue(results.stream().noneMatch(WriteResult.Unclear.class::isInstance));
        }
    }

    private ObjectStore connect(int port) {
        return connect(port, TIMEOUT);
    }

    private ObjectStore connect(int port, Duration timeout) {
        return HttpObjectStore.create(
                HttpClient.create(group, TIMEOUT, null), "127.0.0.1", port, timeout);
    }

    @Test
    void theListOfInstancesLags() throws BindException {
        PlatformOptions options = PlatformOptions.defaults().withListLag(Duration.ofHours(1));
        String withShortLag = ",\"lagMs\":20}";
        try (PlatformStandin standin = PlatformStandin.start(options)) {
            ObjectStore client = connect(standin.port());
            String register = "{\"register\":[{\"name\":\"e1\",\"role\":\"entry\",\"port\":7}]";
            changeInstances(standin, register + "}");
            assertEquals(List.of(), instances(client));
            changeInstances(standin, register + withShortLag);
            await().until(() -> instances(client).size() == 1);
            changeInstances(standin, "{\"leaving\":[\"e1\"]" + withShortLag);
            await().until(() -> instances(client).get(0).isLeaving());
            changeInstances(standin, "{\"deregister\":[\"e1\"]}");
            assertEquals(1, instances(client).size());
            changeInstances(standin, "{\"deregister\":[\"e1\"]" + withShortLag);
            await().until(() -> instances(client).isEmpty());
        }
    }

    @Test
    void anAdminCallWithAnInvalidBodyIsRefused() {
        assertEquals(400, changeInstances(platform, "{\"register\":[{\"port\":,}]}"));
        assertEquals(400, changeInstances(platform, "{\"regster\":[]}"));
        assertEquals(List.of(), instances(store));
    }

    private String calls() {
        return HttpClient.create(group, TIMEOUT, null)
                .call(
                        HttpCall.of(
                                "127.0.0.1",
                                platform.port(),
                                "GET",
                                "/admin/calls",
                                Map.of(),
                                new byte[0],
                                TIMEOUT))
                .join()
                .text();
    }

    private int changeInstances(PlatformStandin standin, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        return HttpClient.create(group, TIMEOUT, null)
                .call(
                        HttpCall.of(
                                "127.0.0.1",
                                standin.port(),
                                "POST",
                                "/admin/instances",
                                Map.of(),
                                body,
                                TIMEOUT))
                .join()
                .status();
    }

    private static List<InstancesResult.Instance> instances(ObjectStore store) {
        return ((InstancesResult.Instances) store.instances().join()).instances();
    }
}
