package org.sardinelift.protocol;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;

class ReportChannelTest {
    private static final String HOST = "127.0.0.1";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<PeerReport> received = new CopyOnWriteArrayList<>();
    private final List<byte[]> receivedBytes = new CopyOnWriteArrayList<>();
    private ReportChannel sender;
    private ReportChannel receiver;

    @BeforeEach
    void bind() throws Exception {
        sender = ReportChannel.bind(group, HOST, 0, (report, bytes) -> {});
        receiver =
                ReportChannel.bind(
                        group,
                        HOST,
                        0,
                        (report, bytes) -> {
                            receivedBytes.add(bytes);
                            received.add(report);
                        });
    }

    @AfterEach
    void close() {
        sender.close();
        receiver.close();
        group.shutdownGracefully();
    }

    private void send(byte[] bytes) {
        sender.send(bytes, new InetSocketAddress(HOST, receiver.port()));
    }

    /** A report with 700 members is longer than Netty's default receive buffer. */
    @Test
    void longReportArrivesComplete() {
        PeerReport report = new PeerReport();
        report.setInstance("gateway-1");
        report.setMembers(
                IntStream.range(0, 700)
                        .mapToObj(i -> new PeerAddress("gateway-" + i, "10.0.0." + i, 7360))
                        .toList());
        byte[] bytes = sender.serialize(report);
        assertTrue(bytes.length > 10_000);

        send(bytes);

        await().until(() -> received.size() == 1);
        assertEquals(report, received.get(0));
        assertArrayEquals(bytes, receivedBytes.get(0));
    }

    @Test
    void invalidBytesAreDropped() {
        PeerReport report = new PeerReport();
        report.setInstance("gateway-1");

        send(new byte[] {(byte) 0x5c, 1, 2});
        send(sender.serialize(report));

        await().until(() -> received.size() == 1);
        assertEquals("gateway-1", received.get(0).getInstance());
        assertTrue(ReportChannel.deserialize(new byte[] {(byte) 0x5c, 1, 2}).isEmpty());
    }
}
