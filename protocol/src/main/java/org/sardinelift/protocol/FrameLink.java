package org.sardinelift.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;

/** A connection to another process that reconnects whenever it is lost. */
public final class FrameLink implements AutoCloseable {
    private final EventLoopGroup group;
    private final Bootstrap bootstrap;
    private final Backoff backoff;
    private volatile boolean isClosed;
    private volatile @Nullable Channel channel;

    private FrameLink(EventLoopGroup group, Bootstrap bootstrap, Backoff backoff) {
        this.group = group;
        this.bootstrap = bootstrap;
        this.backoff = backoff;
    }

    /**
     * Opens a link with the default limits.
     *
     * @param group event loops
     * @param host address of the other process
     * @param port its port of the frame protocol
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param localHello supplies this process's hello for each new connection
     * @param timings heartbeat interval, silence timeout and backoff
     * @param listener receives connections and frames
     * @return the link, connecting
     */
    public static FrameLink open(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
            FrameListener listener) {
        return open(
                group, host, port, tls, localHello, timings, ConnectionLimits.defaults(), listener);
    }

    /**
     * Opens a link.
     *
     * @param group event loops
     * @param host address of the other process
     * @param port its port of the frame protocol
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param localHello supplies this process's hello for each new connection
     * @param timings heartbeat interval, silence timeout and backoff
     * @param limits limits of the connection
     * @param listener receives connections and frames
     * @return the link, connecting
     */
    public static FrameLink open(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
            ConnectionLimits limits,
            FrameListener listener) {
        Backoff backoff = Backoff.of(timings, ThreadLocalRandom.current());
        FrameListener resettingListener = new BackoffResetListener(backoff, listener);
        ChannelInitializer<SocketChannel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        FramePipeline.install(
                                opened,
                                tls == null ? null : tlsHandler(tls.get(), opened, host, port),
                                limits,
                                ChannelConnection.ofOpener(
                                        opened, localHello, timings, resettingListener));
                    }
                };
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) timings.silenceTimeout().toMillis())
                        .handler(initializer)
                        .remoteAddress(host, port);
        FrameLink link = new FrameLink(group, bootstrap, backoff);
        link.connect();
        return link;
    }

    /** Closes the connection and stops reconnecting. */
    @Override
    public void close() {
        isClosed = true;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    private static SslHandler tlsHandler(SslContext tls, Channel channel, String host, int port) {
        return tls.newHandler(channel.alloc(), host, port);
    }

    private void connect() {
        if (isClosed) {
            return;
        }
        ChannelFuture connecting = bootstrap.connect();
        channel = connecting.channel();
        connecting.addListener(
                future -> {
                    if (!future.isSuccess()) {
                        reconnect();
                        return;
                    }
                    connecting.channel().closeFuture().addListener(lost -> reconnect());
                    if (isClosed) {
                        connecting.channel().close();
                    }
                });
    }

    private void reconnect() {
        if (isClosed || group.isShuttingDown()) {
            return;
        }
        group.schedule(this::connect, backoff.nextDelay().toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Resets the backoff once a connection is open. */
    private record BackoffResetListener(Backoff backoff, FrameListener listener)
            implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {
            backoff.reset();
            listener.onConnected(connection);
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            listener.onFrame(connection, frame);
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {
            listener.onDisconnected(connection, reason);
        }
    }
}
