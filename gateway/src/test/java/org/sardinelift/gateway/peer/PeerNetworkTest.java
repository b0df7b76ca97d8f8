package org.sardinelift.gateway.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.gateway.NodeSettings;

/**
 * Guards against changes that don't reach all instances, because relays are lost, no seed is known
 * or a listener fails, and against one message between zones for each change. Twelve instances in
 * three zones, each at a loopback address of its own.
 */
class PeerNetworkTest {
    private static final List<String> ZONES = List.of("north", "south", "west");
    private static final int PER_ZONE = 4;
    private static final int INSTANCES = ZONES.size() * PER_ZONE;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final PeerNetwork.StoreReadState NOTHING_READ = new NothingRead();

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<PeerNetwork> networks = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        int port = freePort();
        for (int i = 0; i < INSTANCES; i++) {
            PeerRole role = i < ZONES.size() ? PeerRole.WORKER : PeerRole.GATEWAY;
            networks.add(PeerNetwork.bind(settings(i, port), role, loop, NOTHING_READ));
        }
        networks.forEach(PeerNetwork::start);
        await().atMost(TIMEOUT).until(() -> onLoop(this::isEveryInstanceLiveToAll));
    }

    @AfterEach
    void stop() {
        networks.forEach(PeerNetwork::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(host(0)))) {
            return socket.getLocalPort();
        }
    }

    private static String host(int instance) {
        return "127.0.2." + (instance + 1);
    }

    private static NodeSettings settings(int instance, int port) {
        return new NodeSettings(
                "instance-" + instance,
                ZONES.get(instance % ZONES.size()),
                new Endpoint(host(instance), port),
                List.of(host(0), host(1)),
                new Endpoint("127.0.0.1", 1),
                Duration.ofSeconds(1),
                1,
                Duration.ofSeconds(8),
                5,
                true,
                false,
                Optional.empty());
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        return loop.submit(action).get();
    }

    private boolean isEveryInstanceLiveToAll() {
        long now = System.nanoTime();
        return networks.stream()
                .allMatch(
                        network ->
                                network.peers().all().stream()
                                                .filter(peer -> network.peers().isLive(peer, now))
                                                .count()
                                        == INSTANCES - 1);
    }

    private long countInstancesThatSee(String target, TargetCalls calls) {
        long now = System.nanoTime();
        return networks.stream()
                .filter(network -> network.targetLoads().knownCalls(target, now).equals(calls))
                .count();
    }

    @Test
    void aChangeReachesEveryInstanceInAllZones() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            PeerNetwork sender = networks.get(i);
            String target = "target-" + i;
            loop.execute(
                    () -> {
                        sender.targetLoads().onOwnCallsChanged(target, new TargetCalls(1, 0));
                        sender.onLocalChange();
                    });
            await().atMost(TIMEOUT)
                    .until(
                            () ->
                                    onLoop(
                                            () ->
                                                    countInstancesThatSee(
                                                                    target, new TargetCalls(1, 0))
                                                            == INSTANCES));
        }
        assertTrue(onLoop(this::isEveryInstanceLiveToAll));
    }

    @Test
    void changesAreBatchedIntoFewMessagesBetweenZones() throws Exception {
        double before = PeerMetrics.sentToOtherZones();
        long startedAt = System.nanoTime();
        IntStream.range(0, 100).forEach(i -> changeEverywhere(10L * i));
        await().atMost(TIMEOUT)
                .until(() -> onLoop(() -> countInstancesThatSee("busy", busyCalls()) == INSTANCES));
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        double sent = PeerMetrics.sentToOtherZones() - before;

        // Each relay sends a message to each other zone every 12 ms, and each instance four
        // heartbeats a second to each instance of other zones.
        int others = INSTANCES - PER_ZONE;
        double relayed = ZONES.size() * (ZONES.size() - 1) * seconds / 0.012;
        double heartbeats = INSTANCES * others * (1 + seconds / 0.25);
        assertTrue(sent <= relayed + heartbeats, sent + " reports in " + seconds + " s");
        // Unbatched, each instance would send each of the 100 changes to each of them.
        assertTrue(sent < 0.5 * 100 * INSTANCES * others);
    }

    private static TargetCalls busyCalls() {
        return new TargetCalls(100 * INSTANCES, 0);
    }

    private void changeEverywhere(long afterMs) {
        loop.schedule(
                () ->
                        networks.forEach(
                                network -> {
                                    network.targetLoads()
                                            .onOwnCallsChanged("busy", new TargetCalls(1, 0));
                                    network.onLocalChange();
                                }),
                afterMs,
                TimeUnit.MILLISECONDS);
    }

    @Test
    void changesReachOtherZonesAfterTheRelaysAreLost() throws Exception {
        for (int i = 0; i < ZONES.size(); i++) {
            networks.get(i).close();
        }
        PeerNetwork sender = networks.get(INSTANCES - 1);
        loop.execute(
                () -> {
                    sender.targetLoads().onOwnCallsChanged("late", new TargetCalls(2, 0));
                    sender.onLocalChange();
                });

        await().atMost(TIMEOUT)
                .until(
                        () ->
                                onLoop(
                                        () ->
                                                countInstancesThatSee("late", new TargetCalls(2, 0))
                                                        == INSTANCES - ZONES.size()));
        assertEquals(0, onLoop(() -> networks.get(0).targetLoads().knownCalls("late", 0).total()));
    }

    @Test
    void instancesExchangeReportsAtOnceWhenTheStoreListsOne() throws Exception {
        int port = freePort();
        PeerNetwork first =
                PeerNetwork.bind(
                        settingsWithoutSeeds(100, port), PeerRole.GATEWAY, loop, NOTHING_READ);
        PeerNetwork second =
                PeerNetwork.bind(
                        settingsWithoutSeeds(101, port), PeerRole.GATEWAY, loop, NOTHING_READ);
        networks.add(first);
        networks.add(second);

        // Neither was started, so that they send no heartbeats.
        loop.execute(
                () ->
                        first.onInstanceRegistered(
                                "instance-101", PeerRole.GATEWAY, new Endpoint(host(101), port)));

        await().atMost(TIMEOUT).until(() -> onLoop(() -> isLive(first, "instance-101")));
        assertTrue(onLoop(() -> isLive(second, "instance-100")));
    }

    @Test
    void aFailingListenerDoesNotStopTheHeartbeats() throws Exception {
        PeerNetwork failing = networks.get(0);
        onLoop(
                () -> {
                    failing.addListener(
                            new PeerNetwork.Listener() {
                                @Override
                                public void onLoadsUpdated() {
                                    throw new IllegalStateException("thrown by the test");
                                }
                            });
                    return true;
                });

        await().pollDelay(Duration.ofMillis(1_500)).until(() -> true);

        assertTrue(onLoop(() -> isLive(networks.get(1), "instance-0")));
    }

    private static NodeSettings settingsWithoutSeeds(int instance, int port) {
        NodeSettings usual = settings(instance, port);
        return new NodeSettings(
                usual.instance(),
                usual.zone(),
                usual.internalAddress(),
                List.of(),
                usual.storeAddress(),
                usual.storeTimeout(),
                usual.storeCallsPerSecond(),
                usual.gracePeriod(),
                usual.maxInstances(),
                usual.isFirstStart(),
                usual.boundsTargetMemory(),
                usual.evacuationTime());
    }

    private static boolean isLive(PeerNetwork network, String name) {
        long now = System.nanoTime();
        return network.peers().all().stream()
                .anyMatch(peer -> peer.name().equals(name) && network.peers().isLive(peer, now));
    }

    private static final class NothingRead implements PeerNetwork.StoreReadState {
        @Override
        public long planVersion() {
            return 0;
        }

        @Override
        public long planReadAt() {
            return 0;
        }

        @Override
        public long targetsReadAt() {
            return 0;
        }

        @Override
        public long targetsRevision() {
            return 0;
        }

        @Override
        public long targetsConfirmedAt() {
            return 0;
        }
    }
}
