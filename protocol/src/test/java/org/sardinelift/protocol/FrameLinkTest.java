package org.sardinelift.protocol;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.Cancel;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.testkit.SilentRelay;

class FrameLinkTest {
    private static final ConnectionTimings TIMINGS =
            new ConnectionTimings(
                    Duration.ofMillis(50),
                    Duration.ofMillis(400),
                    Duration.ofMillis(10),
                    Duration.ofMillis(50));

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Recorder server = new Recorder();
    private final Recorder client = new Recorder();
    private FrameServer bound;

    @BeforeEach
    void start() throws Exception {
        bound = serve(0);
    }

    @AfterEach
    void stop() {
        bound.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private FrameServer serve(int port) throws Exception {
        return FrameServer.start(
                group, "127.0.0.1", port, null, () -> hello("c1", 1), TIMINGS, server);
    }

    private FrameLink link(int port) {
        return FrameLink.open(
                group, "127.0.0.1", port, null, () -> hello("e1", 1), TIMINGS, client);
    }

    private static Hello hello(String instance, int version) {
        return new Hello(instance, "i1", "entry", "riga", Lane.ONLINE, version, 7);
    }

    private static Frame cancel(int attempt) {
        return Frame.cancel(new Cancel("r", attempt, "test"));
    }

    @Test
    void deliversFramesInOrderBothWaysAfterTheHellos() {
        try (FrameLink link = link(bound.port())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
            assertEquals("c1", client.opened.get(0).peer().getInstance());
            assertEquals("e1", server.opened.get(0).peer().getInstance());
            List<Frame> sent = IntStream.range(0, 500).mapToObj(FrameLinkTest::cancel).toList();
            sent.forEach(client.opened.get(0)::send);
            sent.forEach(server.opened.get(0)::send);
            await().until(() -> server.frames.size() == 500 && client.frames.size() == 500);
            assertEquals(sent, server.frames);
            assertEquals(sent, client.frames);
        }
    }

    @Test
    void heartbeatsKeepAnIdleConnectionOpen() {
        try (FrameLink link = link(bound.port())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
            await().during(TIMINGS.silenceTimeout().multipliedBy(3))
                    .until(() -> client.closeReasons.isEmpty() && server.closeReasons.isEmpty());
        }
    }

    @Test
    void reconnectsWhenThePathToTheServerIsSilent() throws Exception {
        try (SilentRelay relay = SilentRelay.start(bound.port());
                FrameLink link = link(relay.port())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
            relay.stopForwardingToServer();
            await().until(() -> client.opened.size() == 2 && server.opened.size() == 2);
            assertEquals(1, client.closeReasons.size());
            await().until(() -> server.closeReasons.size() == 1);
            assertFalse(client.opened.get(0).send(cancel(1)));
            assertTrue(client.opened.get(1).send(cancel(2)));
            await().until(() -> server.frames.equals(List.of(cancel(2))));
        }
    }

    @Test
    void reconnectsWhenThePathToTheClientIsSilent() throws Exception {
        try (SilentRelay relay = SilentRelay.start(bound.port());
                FrameLink link = link(relay.port())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
            relay.stopForwardingToClient();
            await().until(() -> client.opened.size() == 2 && server.closeReasons.size() == 1);
        }
    }

    @Test
    void framesReceivedAfterAPauseOfTheServerAreDropped() throws Exception {
        EventLoopGroup pausedLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch endPause = new CountDownLatch(1);
        try (FrameServer pausing =
                        FrameServer.start(
                                pausedLoops,
                                "127.0.0.1",
                                0,
                                null,
                                () -> hello("c3", 1),
                                TIMINGS,
                                server);
                FrameLink link = link(pausing.port())) {
            await().until(() -> client.opened.size() == 1 && server.opened.size() == 1);
            FrameConnection stale = server.opened.get(0);
            CountDownLatch loopPaused = new CountDownLatch(1);
            pausedLoops.submit(
                    () -> {
                        loopPaused.countDown();
                        return endPause.await(1, TimeUnit.MINUTES);
                    });
            loopPaused.await();
            client.opened.get(0).send(cancel(1));
            await().pollDelay(TIMINGS.silenceTimeout().multipliedBy(4))
                    .until(() -> client.closeReasons.size() == 1);
            endPause.countDown();
            await().until(() -> server.closed.contains(stale) && client.opened.size() > 1);
            assertTrue(server.frames.isEmpty());
        } finally {
            pausedLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    @Test
    void connectsOnceTheServerIsThere() throws Exception {
        int port = bound.port();
        bound.close();
        try (FrameLink link = link(port)) {
            bound = serve(port);
            await().until(() -> client.opened.size() == 1);
        }
    }

    @Test
    void refusesAnotherProtocolVersion() {
        try (FrameLink link =
                FrameLink.open(
                        group,
                        "127.0.0.1",
                        bound.port(),
                        null,
                        () -> hello("e2", 2),
                        TIMINGS,
                        client)) {
            await().during(Duration.ofMillis(300)).until(server.opened::isEmpty);
            assertTrue(client.opened.isEmpty());
        }
    }

    @Test
    void disconnectsAPeerWhoseFrameIsTooLarge() throws Exception {
        ConnectionLimits limits = new ConnectionLimits(1000, 1_000_000, 10);
        try (FrameServer small =
                        FrameServer.start(
                                group,
                                "127.0.0.1",
                                0,
                                null,
                                () -> hello("c2", 1),
                                TIMINGS,
                                limits,
                                server);
                FrameLink link = link(small.port())) {
            await().until(() -> client.opened.size() == 1);
            Data data = new Data().setRequestId("r").setBody(new byte[2000]);
            client.opened.get(0).send(Frame.data(data));
            await().until(() -> server.closeReasons.size() == 1);
            assertTrue(server.frames.isEmpty());
        }
    }
}
