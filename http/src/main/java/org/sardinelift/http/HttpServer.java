package org.sardinelift.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** HTTP/1.1 server on a bound port. */
public final class HttpServer implements AutoCloseable {
    private final ListeningSocket socket;
    private final ChannelGroup connectionCount;
    private final ServerState state;

    private HttpServer(ListeningSocket socket, ChannelGroup connections, ServerState state) {
        this.state = state;
        this.socket = socket;
        this.connectionCount = connections;
    }

    /**
     * Binds a port and serves it.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param limits limits of requests and connections
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param handler handles the requests
     * @return the bound server
     * @throws java.net.BindException if the address is in use; choose another in the settings
     */
    public static HttpServer start(
            EventLoopGroup group,
            String host,
            int port,
            HttpLimits limits,
            @Nullable Supplier<SslContext> tls,
            HttpHandler handler)
            throws java.net.BindException {
        return start(group, host, port, () -> limits, tls, handler);
    }

    /**
     * Binds a port and serves it with limits that may change. The limits of request lines and
     * headers are fixed per connection when it is opened.
     *
     * @param group event loops
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param limits supplies the current limits
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @param handler handles the requests
     * @return the bound server
     * @throws java.net.BindException if the address is in use; choose another in the settings
     */
    public static HttpServer start(
            EventLoopGroup group,
            String host,
            int port,
            Supplier<HttpLimits> limits,
            @Nullable Supplier<SslContext> tls,
            HttpHandler handler)
            throws java.net.BindException {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerState state = new ServerState();
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(initializer(limits, tls, handler, connections, state));
        ListeningSocket socket = ListeningSocket.bind(bootstrap, host, port);
        return new HttpServer(socket, connections, state);
    }

    private static ChannelInitializer<SocketChannel> initializer(
            Supplier<HttpLimits> limits,
            @Nullable Supplier<SslContext> tls,
            HttpHandler handler,
            ChannelGroup connections,
            ServerState state) {
        RefusedConnectionLog refusals = new RefusedConnectionLog();
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                HttpLimits currentLimits = limits.get();
                if (connections.size() >= currentLimits.maxConnections()) {
                    refusals.log(currentLimits.maxConnections(), channel.remoteAddress());
                    channel.close();
                    return;
                }
                connections.add(channel);
                if (tls != null) {
                    channel.pipeline().addLast(tls.get().newHandler(channel.alloc()));
                }
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(
                                        currentLimits.maxLineBytes(),
                                        currentLimits.maxHeaderBytes(),
                                        8192))
                        .addLast(new ServerConnection(limits, handler, state));
            }
        };
    }

    /**
     * Port that was bound.
     *
     * @return port number
     */
    public int port() {
        return socket.port();
    }

    /**
     * Number of open connections.
     *
     * @return number of connections
     */
    public int connectionCount() {
        return connectionCount.size();
    }

    /**
     * Number of requests whose responses have not been written completely.
     *
     * @return number of requests
     */
    public int pendingResponses() {
        return state.pendingResponses.get();
    }

    /** Makes every further response announce that its connection closes after it. */
    public void announceClose() {
        state.isClosing = true;
    }

    /**
     * Closes the connections that have no request in progress, not even a partly received one, and
     * from now on any other as soon as the response to its request is complete.
     */
    public void closeConnectionsWhenIdle() {
        state.closesIdleConnections = true;
        connectionCount.forEach(
                connection -> connection.eventLoop().execute(() -> closeIfIdle(connection)));
    }

    private static void closeIfIdle(Channel channel) {
        ServerConnection connection = channel.pipeline().get(ServerConnection.class);
        // A connection that has ended meanwhile has no handlers any more.
        if (connection != null) {
            connection.closeIfIdle();
        }
    }

    /** Stops accepting connections; open ones stay open. */
    public void stopAccepting() {
        socket.close();
    }

    /** Stops accepting connections and closes all open ones. */
    @Override
    public void close() {
        socket.close();
        connectionCount.close().awaitUninterruptibly();
    }
}
