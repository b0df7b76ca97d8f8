package org.sardinelift.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.fleet.HeartbeatAction;
import org.sardinelift.core.fleet.HeartbeatMonitor;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Heartbeat;
import org.sardinelift.protocol.generated.HeartbeatAck;
import org.sardinelift.protocol.generated.Hello;
import org.tinylog.Logger;

/**
 * Connection over one channel: exchanges hellos and heartbeats, and closes the channel after the
 * silence timeout. Bytes that arrive after the timeout are dropped, and the channel is closed too,
 * since they may be out of date.
 */
final class ChannelConnection extends ChannelInboundHandlerAdapter implements FrameConnection {
    private final Channel channel;
    private final Supplier<Hello> localHello;
    private final FrameListener listener;
    private volatile @Nullable Hello peer;
    private volatile boolean isClosing;
    private boolean isUp;
    private String reason = "closed by the peer";
    private final HeartbeatMonitor monitor;

    private ChannelConnection(
            Channel channel,
            Supplier<Hello> localHello,
            HeartbeatMonitor monitor,
            FrameListener listener) {
        this.channel = channel;
        this.localHello = localHello;
        this.monitor = monitor;
        this.listener = listener;
    }

    /** Creates the end that opened the channel; it sends the heartbeats. */
    static ChannelConnection ofOpener(
            Channel channel,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
            FrameListener listener) {
        HeartbeatMonitor monitor =
                HeartbeatMonitor.ofOpener(
                        timings.heartbeatInterval(), timings.silenceTimeout(), System.nanoTime());
        return new ChannelConnection(channel, localHello, monitor, listener);
    }

    /** Creates the end that accepted the channel; it answers the heartbeats. */
    static ChannelConnection ofAcceptor(
            Channel channel,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
            FrameListener listener) {
        HeartbeatMonitor monitor =
                HeartbeatMonitor.ofAcceptor(timings.silenceTimeout(), System.nanoTime());
        return new ChannelConnection(channel, localHello, monitor, listener);
    }

    /** Monitors raw bytes, so that a large frame in transit doesn't count as silence. */
    ChannelInboundHandlerAdapter byteMonitor() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof ByteBuf && !monitor.onBytesReceived(System.nanoTime())) {
                    closeChannel("bytes arrived after the silence timeout");
                }
                if (isClosing) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel.writeAndFlush(Frame.hello(localHello.get()));
        scheduleHeartbeatCheck();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isClosing || !(message instanceof Frame frame) || frame.getSetField() == null) {
            return;
        }
        if (!isUp) {
            onHello(frame);
            return;
        }
        switch (frame.getSetField()) {
            case HELLO -> closeChannel("a second hello frame arrived");
            case HEARTBEAT ->
                    channel.writeAndFlush(
                            Frame.heartbeatAck(
                                    new HeartbeatAck(frame.getHeartbeat().getSequence())));
            case HEARTBEAT_ACK ->
                    monitor.onHeartbeatAnswered(
                            frame.getHeartbeatAck().getSequence(), System.nanoTime());
            default -> listener.onFrame(this, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        isClosing = true;
        if (isUp) {
            isUp = false;
            listener.onDisconnected(this, reason);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!channel.isWritable()) {
            closeChannel("the peer reads too slowly; unsent bytes reached maxUnsentBytes");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeChannel(String.valueOf(cause.getMessage()));
    }

    @Override
    public boolean send(Frame frame) {
        if (isClosing || !channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(frame)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                closeChannel(
                                        "a frame could not be sent: "
                                                + future.cause().getMessage());
                            }
                        });
        return true;
    }

    @Override
    public Hello peer() {
        Hello hello = peer;
        if (hello == null) {
            throw new IllegalStateException("the peer has not sent its hello");
        }
        return hello;
    }

    @Override
    public void close(String closeReason) {
        isClosing = true;
        channel.eventLoop().execute(() -> closeChannel(closeReason));
    }

    private void onHello(Frame frame) {
        if (frame.getSetField() != Frame._Fields.HELLO) {
            closeChannel("the first frame was not a hello frame");
            return;
        }
        Hello hello = frame.getHello();
        int version = localHello.get().getProtocolVersion();
        if (hello.getProtocolVersion() != version) {
            Logger.error(
                    "Refused the connection of {}: it has protocol version {}, this process {}."
                            + " Upgrade the older one",
                    hello.getInstance(),
                    hello.getProtocolVersion(),
                    version);
            closeChannel("protocol version " + hello.getProtocolVersion() + " is not " + version);
            return;
        }
        peer = hello;
        isUp = true;
        listener.onConnected(this);
    }

    private void scheduleHeartbeatCheck() {
        channel.eventLoop()
                .schedule(
                        this::checkHeartbeat,
                        monitor.nextCheckInNanos(System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    private void checkHeartbeat() {
        if (isClosing || !channel.isActive()) {
            return;
        }
        HeartbeatAction action = monitor.check(System.nanoTime());
        if (action instanceof HeartbeatAction.Close close) {
            closeChannel(close.reason());
            return;
        }
        if (action instanceof HeartbeatAction.SendHeartbeat heartbeat && isUp) {
            sendHeartbeat(heartbeat.sequence());
        }
        scheduleHeartbeatCheck();
    }

    private void sendHeartbeat(long sequence) {
        Heartbeat heartbeat = new Heartbeat(sequence, localHello.get().getConfigRevision());
        channel.writeAndFlush(Frame.heartbeat(heartbeat))
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                monitor.onHeartbeatWritten(System.nanoTime());
                            }
                        });
    }

    private void closeChannel(String closeReason) {
        if (channel.isActive() && (!isClosing || reason.equals("closed by the peer"))) {
            reason = closeReason;
            Logger.warn(
                    "Closed the connection with {} at {}: {}",
                    peer == null ? "an unknown process" : peer.getInstance(),
                    channel.remoteAddress(),
                    closeReason);
        }
        isClosing = true;
        channel.close();
    }
}
