package org.sardinelift.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.BindException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.ListeningSocket;
import org.sardinelift.protocol.generated.Hello;
import org.tinylog.Logger;

/** Server that accepts connections of the frame protocol on a bound port. */
public final class FrameServer implements AutoCloseable {
    private static final int BACKLOG = 1024;

    private final ListeningSocket socket;
    private final ChannelGroup connections;

    private FrameServer(ListeningSocket socket, ChannelGroup connections) {
        this.socket = socket;
        this.connections = connections;
    }

    /**
     * Binds a port and serves it with the default limits.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param localHello supplies this process's hello for each new connection
     * @param timings heartbeat interval and silence timeout
     * @param listener receives connections and frames
     * @return the bound server
     * @throws BindException if the address is in use; choose another in the settings
     */
    public static FrameServer start(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
            FrameListener listener)
            throws BindException {
        return start(
                group, host, port, tls, localHello, timings, ConnectionLimits.defaults(), listener);
    }

    /**
     * Binds a port and serves it.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param localHello supplies this process's hello for each new connection
     * @param timings heartbeat interval and silence timeout
     * @param limits limits of connections
     * @param listener receives connections and frames
     * @return the bound server
     * @throws BindException if the address is in use; choose another in the settings
     */
    public static FrameServer start(
            EventLoopGroup group,
            String host,
            int port,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> localHello,
            ConnectionTimings timings,
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
                                    "{} connections are open (maxConnections); refused one from {}",
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
                                ChannelConnection.ofAcceptor(
                                        accepted, localHello, timings, listener));
                    }
                };
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer);
        return new FrameServer(ListeningSocket.bind(bootstrap, host, port), connections);
    }

    /**
     * Port that was bound.
     *
     * @return port number
     */
    public int port() {
        return socket.port();
    }

    /** Stops accepting connections; open ones stay open. */
    public void stopAccepting() {
        socket.close();
    }

    /** Stops accepting connections and closes all open ones. */
    @Override
    public void close() {
        socket.close();
        connections.close().awaitUninterruptibly();
    }
}
