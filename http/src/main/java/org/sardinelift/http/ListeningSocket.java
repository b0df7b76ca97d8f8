package org.sardinelift.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.RejectedExecutionException;

/** TCP socket that accepts connections; its address can be bound again once it is closed. */
public final class ListeningSocket implements AutoCloseable {
    private final Channel channel;
    private final ServerSocketChannel socket;

    private ListeningSocket(Channel channel, ServerSocketChannel socket) {
        this.channel = channel;
        this.socket = socket;
    }

    /**
     * Binds an address and accepts connections on it.
     *
     * @param bootstrap event loops, options and handlers of the connections
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @return the bound socket
     * @throws BindException if the address can't be bound; choose another in the settings
     */
    public static ListeningSocket bind(ServerBootstrap bootstrap, String host, int port)
            throws BindException {
        ServerSocketChannel socket = open(host, port);
        ChannelFuture bound =
                bootstrap
                        .channelFactory(() -> new NioServerSocketChannel(socket))
                        .bind(host, port)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new BindException(
                    host + ":" + port + " can't be bound: " + bound.cause().getMessage());
        }
        return new ListeningSocket(bound.channel(), socket);
    }

    private static ServerSocketChannel open(String host, int port) throws BindException {
        try {
            return ServerSocketChannel.open();
        } catch (IOException e) {
            throw new BindException(
                    "no socket can be opened for " + host + ":" + port + ": " + e.getMessage());
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
     * Stops accepting connections; open ones stay open. Waits until the event loop's selector has
     * released the socket: until then the operating system still lists it as listening.
     */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        while (socket.isRegistered() && !channel.eventLoop().inEventLoop()) {
            try {
                channel.eventLoop().submit(() -> {}).awaitUninterruptibly();
            } catch (RejectedExecutionException e) {
                // The event loop has ended and closed its selector.
                return;
            }
        }
    }
}
