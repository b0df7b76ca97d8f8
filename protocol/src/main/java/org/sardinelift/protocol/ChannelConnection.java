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
 * One channel: says hello, lets its path be watched, and closes it when it is silent. A channel on
 * which bytes arrive after longer than the bound counts as silent too: what it brings may be long
 * out of date, so none of it is passed on.
 */
final class ChannelConnection extends ChannelInboundHandlerAdapter implements FrameConnection {
    private final Channel channel;
    private final Supplier<Hello> self;
    private final FrameListener listener;
    private volatile @Nullable Hello peer;
    private volatile boolean closing;
    private boolean up;
    private String reason = "closed by the peer";
    private final HeartbeatMonitor watch;

    private ChannelConnection(
            Channel channel, Supplier<Hello> self, HeartbeatMonitor watch, FrameListener listener) {
        this.channel = channel;
        this.self = self;
        this.watch = watch;
        this.listener = listener;
    }

    /** The end that opened the channel: it sends the heartbeats. */
    static ChannelConnection ofOpener(
            Channel channel, Supplier<Hello> self, LinkTimings timings, FrameListener listener) {
        HeartbeatMonitor watch =
                HeartbeatMonitor.ofOpener(
                        timings.heartbeat(), timings.silence(), System.nanoTime());
        return new ChannelConnection(channel, self, watch, listener);
    }

    /** The end that accepted the channel: it answers the heartbeats. */
    static ChannelConnection ofAcceptor(
            Channel channel, Supplier<Hello> self, LinkTimings timings, FrameListener listener) {
        HeartbeatMonitor watch = HeartbeatMonitor.ofAcceptor(timings.silence(), System.nanoTime());
        return new ChannelConnection(channel, self, watch, listener);
    }

    /** Watches the raw bytes, so that a large frame on its way does not count as silence. */
    ChannelInboundHandlerAdapter byteMonitor() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof ByteBuf && !watch.onBytesReceived(System.nanoTime())) {
                    shut("bytes came after a silence");
                }
                if (closing) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel.writeAndFlush(Frame.hello(self.get()));
        scheduleCheck();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing || !(message instanceof Frame frame) || frame.getSetField() == null) {
            return;
        }
        if (!up) {
            greet(frame);
            return;
        }
        switch (frame.getSetField()) {
            case HELLO -> shut("a second hello came");
            case HEARTBEAT ->
                    channel.writeAndFlush(
                            Frame.heartbeatAck(
                                    new HeartbeatAck(frame.getHeartbeat().getSequence())));
            case HEARTBEAT_ACK ->
                    watch.onHeartbeatAnswered(
                            frame.getHeartbeatAck().getSequence(), System.nanoTime());
            default -> listener.onFrame(this, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        if (up) {
            up = false;
            listener.onDown(this, reason);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!channel.isWritable()) {
            shut("the peer reads too slowly; the bound on unsent bytes is reached");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        shut(String.valueOf(cause.getMessage()));
    }

    @Override
    public boolean send(Frame frame) {
        if (closing || !channel.isActive()) {
            return false;
        }
        channel.writeAndFlush(frame)
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                shut("a frame could not be sent: " + future.cause().getMessage());
                            }
                        });
        return true;
    }

    @Override
    public Hello peer() {
        Hello hello = peer;
        if (hello == null) {
            throw new IllegalStateException("the peer has not said hello");
        }
        return hello;
    }

    @Override
    public void close(String why) {
        closing = true;
        channel.eventLoop().execute(() -> shut(why));
    }

    private void greet(Frame frame) {
        if (frame.getSetField() != Frame._Fields.HELLO) {
            shut("the first frame was not a hello");
            return;
        }
        Hello hello = frame.getHello();
        int version = self.get().getProtocolVersion();
        if (hello.getProtocolVersion() != version) {
            Logger.error(
                    "{} speaks protocol version {}, this process {}; its connection is refused."
                            + " Upgrade the older one",
                    hello.getInstance(),
                    hello.getProtocolVersion(),
                    version);
            shut("protocol version " + hello.getProtocolVersion() + " is not " + version);
            return;
        }
        peer = hello;
        up = true;
        listener.onUp(this);
    }

    private void scheduleCheck() {
        channel.eventLoop()
                .schedule(
                        this::check,
                        watch.nextCheckInNanos(System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (closing || !channel.isActive()) {
            return;
        }
        HeartbeatAction step = watch.check(System.nanoTime());
        if (step instanceof HeartbeatAction.Close silent) {
            shut(silent.reason());
            return;
        }
        if (step instanceof HeartbeatAction.SendHeartbeat heartbeat && up) {
            sendHeartbeat(heartbeat.sequence());
        }
        scheduleCheck();
    }

    private void sendHeartbeat(long sequence) {
        Heartbeat heartbeat = new Heartbeat(sequence, self.get().getConfigRevision());
        channel.writeAndFlush(Frame.heartbeat(heartbeat))
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                watch.onHeartbeatWritten(System.nanoTime());
                            }
                        });
    }

    private void shut(String why) {
        if (channel.isActive() && (!closing || reason.equals("closed by the peer"))) {
            reason = why;
            Logger.warn(
                    "Connection with {} at {}: {}; it is closed",
                    peer == null ? "an unknown process" : peer.getInstance(),
                    channel.remoteAddress(),
                    why);
        }
        closing = true;
        channel.close();
    }
}
