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
 * Reports between instances, each in one datagram in the compact Thrift protocol. A report holds
 * the whole state that it speaks of, so that a lost one is made good by the next.
 */
public final class ReportChannel implements AutoCloseable {
    /** Longest datagram, bytes: what UDP over IPv4 takes. */
    private static final int MAX_BYTES = 60_000;

    private final Channel channel;
    private final TSerializer serializer;

    /** Takes reports, on the event loop. */
    public interface Listener {
        /**
         * A report has come.
         *
         * @param report the report
         * @param bytes the same as it came, to be passed on
         */
        void onReport(PeerReport report, byte[] bytes);
    }

    private ReportChannel(Channel channel, TSerializer serializer) {
        this.channel = channel;
        this.serializer = serializer;
    }

    /**
     * Binds a port and takes reports.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for any
     * @param listener takes each report, on the event loop
     * @return the bound channel
     * @throws BindException where the address is taken; choose another in the settings
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
                                    new FixedRecvByteBufAllocator(MAX_BYTES))
                            .handler(new Receiver(listener))
                            .bind(host, port)
                            .awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new BindException(
                        host + ":" + port + " can't be bound: " + bound.cause().getMessage());
            }
            return new ReportChannel(
                    bound.channel(), new TSerializer(new TCompactProtocol.Factory()));
        } catch (TTransportException e) {
            throw new IllegalStateException("a codec over byte arrays needs no transport", e);
        }
    }

    /**
     * The port that was bound.
     *
     * @return port number
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Serializes a report, to be sent to several instances.
     *
     * @param report the report
     * @return its bytes
     */
    public byte[] bytes(PeerReport report) {
        try {
            return serializer.serialize(report);
        } catch (TException e) {
            throw new IllegalArgumentException("the report can't be serialized", e);
        }
    }

    /**
     * Sends a report; a failure is noticed by nobody but the missing report at the other end.
     *
     * @param report serialized report
     * @param to where to
     */
    public void send(byte[] report, InetSocketAddress to) {
        if (report.length > MAX_BYTES) {
            Logger.error(
                    "A report of {} bytes is too long for a datagram; not sent", report.length);
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(report), to));
    }

    /**
     * Reads a report that another instance passed on.
     *
     * @param bytes its bytes
     * @return the report, or empty where they hold none
     */
    public static Optional<PeerReport> read(byte[] bytes) {
        PeerReport report = new PeerReport();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(report, bytes);
            return Optional.of(report);
        } catch (TException e) {
            Logger.warn("{} bytes are no report: {}; dropped", bytes.length, e.getMessage());
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }

    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Listener listener;

        Receiver(Listener listener) {
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            read(bytes).ifPresent(report -> listener.onReport(report, bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // An unreachable peer shows as an error of the socket; its missing reports tell more.
            Logger.debug("Reports: {}", cause.toString());
        }
    }
}
