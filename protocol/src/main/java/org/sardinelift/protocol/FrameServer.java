package org.sardinelift.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.protocol.generated.Hello;
import org.tinylog.Logger;

/** A bound port of the process protocol. */
public final class FrameServer implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final Channel channel;
    private final ChannelGroup connections;

    private FrameServer(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Binds a port and serves it within the default bounds.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for any
     * @param tls gives the certificates in force at each new connection, or null for plaintext
     * @param self gives this process's hello at each new connection
     * @param timings heartbeat and silence
     * @param listener hears of connections and frames
     * @return the bound server
     * @throws BindException where the address is taken; choose another in the settings
     */
    public static FrameServer start(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> self,
            LinkTimings timings,
            FrameListener listener)
            throws BindException {
        return start(group, host, port, tls, self, timings, ConnectionLimits.defaults(), listener);
    }

    /**
     * Binds a port and serves it.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for any
     * @param tls gives the certificates in force at each new connection, or null for plaintext
     * @param self gives this process's hello at each new connection
     * @param timings heartbeat and silence
     * @param limits bounds
     * @param listener hears of connections and frames
     * @return the bound server
     * @throws BindException where the address is taken; choose another in the settings
     */
    public static FrameServer start(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> self,
            LinkTimings timings,
            ConnectionLimits limits,
            FrameListener listener)
            throws BindException {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ChannelInitializer<SocketChannel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        if (connections.size() >= limits.maxConnections()) {
                            Logger.warn(
                                    "{} connections are open, the bound; {} is turned away",
                                    limits.maxConnections(),
                                    accepted.remoteAddress());
                            accepted.close();
                            return;
                        }
                        connections.add(accepted);
                        FramePipeline.install(
                                accepted,
                                tls == null ? null : tls.get().newHandler(accepted.alloc()),
                                limits,
                                ChannelConnection.ofAcceptor(accepted, self, timings, listener));
                    }
                };
        var bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer)
                        .bind(host, port)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(
                    host + ":" + port + " can't be bound: " + bound.cause().getMessage());
        }
        return new FrameServer(bound.channel(), connections);
    }

    /**
     * The port that was bound.
     *
     * @return port number
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections; open ones go on. */
    public void stopAccepting() {
        channel.close().awaitUninterruptibly();
    }

    /** Stops accepting and closes every connection. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
