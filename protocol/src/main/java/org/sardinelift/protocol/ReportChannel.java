package org.sardinelift.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;
import org.sardinelift.protocol.generated.PeerReport;
import org.tinylog.Logger;

/**
 * UDP channel for reports between instances; each report is one datagram in the compact Thrift
 * protocol. A report contains complete state, so that the next one makes up for a lost one.
 */
public final class ReportChannel implements AutoCloseable {
    /** Fits into one datagram of UDP over IPv4. */
    private static final int MAX_DATAGRAM_BYTES = 60_000;

    private final Channel channel;
    private final TSerializer serializer;

    /** Receives reports, on the event loop. */
    public interface Listener {
        /**
         * Called when a report has arrived.
         *
         * @param report the report
         * @param bytes the report as received, to be forwarded
         */
        void onReport(PeerReport report, byte[] bytes);
    }

    private ReportChannel(Channel channel, TSerializer serializer) {
        this.channel = channel;
        this.serializer = serializer;
    }

    /**
     * Binds a port and receives reports.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param listener receives each report, on the event loop
     * @return the bound channel
     * @throws BindException if the address is in use; choose another in the settings
     */
    public static ReportChannel bind(EventLoopGroup group, String host, int port, Listener listener)
            throws BindException {
        try {
            var bound =
                    new Bootstrap()
                            .group(group)
                            .channel(NioDatagramChannel.class)
                            .option(
                                    ChannelOption.RECVBUF_ALLOCATOR,
                                    new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                            .handler(new ReportHandler(listener))
                            .bind(host, port)
                            .awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new BindException(
                        host + ":" + port + " can't be bound: " + bound.cause().getMessage());
            }
            return new ReportChannel(
                    bound.channel(), new TSerializer(new TCompactProtocol.Factory()));
        } catch (TTransportException e) {
            throw new IllegalStateException("a codec over byte arrays opens no transport", e);
        }
    }

    /**
     * Port that was bound.
     *
     * @return port number
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Serializes a report, so that it can be sent to several instances.
     *
     * @param report the report
     * @return its bytes
     */
    public byte[] serialize(PeerReport report) {
        try {
            return serializer.serialize(report);
        } catch (TException e) {
            throw new IllegalArgumentException("the report can't be serialized", e);
        }
    }

    /**
     * Sends a report without any sign of a failure; the receiver detects missing reports.
     *
     * @param report serialized report
     * @param to address of the receiver
     */
    public void send(byte[] report, InetSocketAddress to) {
        if (report.length > MAX_DATAGRAM_BYTES) {
            Logger.error(
                    "Dropped a report of {} bytes: it is too long for a datagram", report.length);
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(report), to));
    }

    /**
     * Deserializes a report.
     *
     * @param bytes its bytes
     * @return the report, or empty if the bytes are not a valid report
     */
    public static Optional<PeerReport> deserialize(byte[] bytes) {
        PeerReport report = new PeerReport();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(report, bytes);
            return Optional.of(report);
        } catch (TException e) {
            Logger.warn(
                    "Dropped {} bytes that are not a valid report: {}",
                    bytes.length,
                    e.getMessage());
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }

    private static final class ReportHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Listener listener;

        ReportHandler(Listener listener) {
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            deserialize(bytes).ifPresent(report -> listener.onReport(report, bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // An unreachable peer causes socket errors; its missing reports show more.
            Logger.debug("Report channel: {}", cause.toString());
        }
    }
}
