package org.sardinelift.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** HTTP/1.1 client with a pool of idle connections for each address. */
public final class HttpClient {
    private static final int MAX_IDLE_PER_ADDRESS = 512;
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 8 * 1024;

    /**
     * Connections are reused only within this fraction of the idle timeout that the peer states.
     */
    private static final double USED_KEEP_ALIVE_FRACTION = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long UNBOUNDED_NANOS = Long.MAX_VALUE;
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("(?:timeout=)?(\\d{1,6})");

    private final Bootstrap bootstrap;
    private final long maxIdleNanos;
    private final ResponseMemory memory;
    private final Map<String, ConcurrentLinkedDeque<IdleConnection>> idleConnections =
            new ConcurrentHashMap<>();

    /** An idle connection and how long it may stay idle before it must not be reused. */
    private record IdleConnection(Channel channel, long idleSinceNanos, long idleLimitNanos) {
        boolean isUsable() {
            return channel.isActive() && idleNanos() < idleLimitNanos;
        }

        long idleNanos() {
            return System.nanoTime() - idleSinceNanos;
        }
    }

    private HttpClient(Bootstrap bootstrap, long maxIdleNanos, ResponseMemory memory) {
        this.memory = memory;
        this.bootstrap = bootstrap;
        this.maxIdleNanos = maxIdleNanos;
    }

    /**
     * Creates a client.
     *
     * @param group event loops
     * @param connectTimeout maximum time to connect
     * @param tls supplies the current certificates for each new connection, or null for plaintext
     * @return the client
     */
    public static HttpClient create(
            EventLoopGroup group, Duration connectTimeout, @Nullable Supplier<SslContext> tls) {
        return create(group, connectTimeout, UNBOUNDED_NANOS, tls, ResponseMemory.ofProcess());
    }

    /**
     * Creates a client for plaintext that doesn't reuse connections after a maximum idle time.
     *
     * @param group event loops
     * @param connectTimeout maximum time to connect
     * @param maxIdle maximum time without a call after which a connection is still reused
     * @return the client
     */
    public static HttpClient createPlaintext(
            EventLoopGroup group, Duration connectTimeout, Duration maxIdle) {
        return createPlaintext(group, connectTimeout, maxIdle, ResponseMemory.ofProcess());
    }

    /**
     * Creates a client for plaintext whose responses have a bound on their memory of their own.
     *
     * @param group event loops
     * @param connectTimeout maximum time to connect
     * @param maxIdle maximum time without a call after which a connection is still reused
     * @param memory bounds the memory of incomplete responses
     * @return the client
     */
    public static HttpClient createPlaintext(
            EventLoopGroup group,
            Duration connectTimeout,
            Duration maxIdle,
            ResponseMemory memory) {
        return create(group, connectTimeout, maxIdle.toNanos(), null, memory);
    }

    private static HttpClient create(
            EventLoopGroup group,
            Duration connectTimeout,
            long maxIdleNanos,
            @Nullable Supplier<SslContext> tls,
            ResponseMemory memory) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) connectTimeout.toMillis())
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        if (tls != null) {
                                            channel.pipeline()
                                                    .addLast(tls.get().newHandler(channel.alloc()));
                                        }
                                        ResponseDecoder decoder =
                                                new ResponseDecoder(
                                                        MAX_LINE_BYTES,
                                                        MAX_HEADER_BYTES,
                                                        MAX_CHUNK_BYTES);
                                        channel.pipeline()
                                                .addLast(new HttpRequestEncoder())
                                                .addLast(decoder)
                                                .addLast(new ClientConnection(decoder));
                                    }
                                });
        return new HttpClient(bootstrap, maxIdleNanos, memory);
    }

    /**
     * Sends a request and streams the response to a listener, which bounds what it keeps and how
     * long it waits.
     *
     * @param call the request
     * @param listener receives the response
     * @return cancels the call when run: its connection is closed
     */
    public Runnable send(HttpCall call, HttpResponseListener listener) {
        return send(call, ResponseBounds.ofStreamed(), listener);
    }

    private Runnable send(HttpCall call, ResponseBounds bounds, HttpResponseListener listener) {
        ClientExchange exchange = new ClientExchange(this, call, bounds, memory, listener);
        Channel pooled = pollIdle(call);
        if (pooled != null) {
            exchange.sendOver(pooled, true);
        } else {
            connect(call, exchange);
        }
        return exchange::cancel;
    }

    /**
     * Sends a request and buffers the complete response, which may have up to 16 MiB and take up to
     * ten silence timeouts.
     *
     * @param call the request
     * @return the response; fails with {@link HttpCallException} if there is none
     */
    public CompletableFuture<BufferedHttpResponse> call(HttpCall call) {
        CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();
        BodyBuffer body = BodyBuffer.create();
        send(
                call,
                ResponseBounds.ofBuffered(call.silenceTimeout()),
                new HttpResponseListener() {
                    private int status;
                    private List<Map.Entry<String, String>> headers = List.of();

                    @Override
                    public void onHead(int code, List<Map.Entry<String, String>> fields) {
                        status = code;
                        headers = fields;
                    }

                    @Override
                    public void onData(byte[] part) {
                        body.add(part);
                    }

                    @Override
                    public long heldBytes() {
                        return body.size();
                    }

                    @Override
                    public void onEnd() {
                        response.complete(
                                new BufferedHttpResponse(status, headers, body.toByteArray()));
                    }

                    @Override
                    public void onFailure(Throwable cause, boolean mayHaveRun) {
                        response.completeExceptionally(new HttpCallException(cause, mayHaveRun));
                    }
                });
        return response;
    }

    void connect(HttpCall call, ClientExchange exchange) {
        ChannelFuture connecting;
        try {
            connecting = bootstrap.connect(call.host(), call.port());
        } catch (IllegalArgumentException e) {
            // A port out of range.
            exchange.onConnectFailed(e);
            return;
        }
        connecting.addListener(
                future -> {
                    if (future.isSuccess()) {
                        exchange.sendOver(connecting.channel(), false);
                    } else {
                        exchange.onConnectFailed(future.cause());
                    }
                });
    }

    void returnToPool(HttpCall call, Channel channel, @Nullable String keepAlive) {
        ConcurrentLinkedDeque<IdleConnection> pool =
                idleConnections.computeIfAbsent(
                        address(call), key -> new ConcurrentLinkedDeque<>());
        if (pool.size() >= MAX_IDLE_PER_ADDRESS) {
            pool.removeIf(entry -> !entry.channel().isActive());
        }
        if (pool.size() >= MAX_IDLE_PER_ADDRESS) {
            channel.close();
            return;
        }
        pool.push(new IdleConnection(channel, System.nanoTime(), maxIdle(keepAlive)));
    }

    private long maxIdle(@Nullable String keepAlive) {
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
        if (!timeout.find()) {
            return maxIdleNanos;
        }
        double seconds = Integer.parseInt(timeout.group(1)) * USED_KEEP_ALIVE_FRACTION;
        return Math.min(maxIdleNanos, (long) (seconds * NANOS_PER_SECOND));
    }

    private @Nullable Channel pollIdle(HttpCall call) {
        ConcurrentLinkedDeque<IdleConnection> pool = idleConnections.get(address(call));
        long maxIdle = call.maxConnectionIdle().toNanos();
        // The connection used last comes first, so the others are older.
        IdleConnection entry = pool == null ? null : pool.peek();
        while (entry != null && entry.idleNanos() < maxIdle) {
            if (pool.remove(entry)) {
                if (entry.isUsable()) {
                    return entry.channel();
                }
                entry.channel().close();
            }
            entry = pool.peek();
        }
        return null;
    }

    /**
     * Whether a request to an address could be sent over an idle connection.
     *
     * @param host address
     * @param port port
     * @param maxIdle longest idle time of the connection
     * @return false if it needs a new connection
     */
    public boolean hasIdleConnection(String host, int port, Duration maxIdle) {
        ConcurrentLinkedDeque<IdleConnection> pool = idleConnections.get(host + ":" + port);
        IdleConnection latest = pool == null ? null : pool.peek();
        return latest != null && latest.isUsable() && latest.idleNanos() < maxIdle.toNanos();
    }

    /**
     * Closes the idle connections to an address, whose peer may no longer be there.
     *
     * @param host address
     * @param port port
     */
    public void closeIdleConnections(String host, int port) {
        ConcurrentLinkedDeque<IdleConnection> pool = idleConnections.remove(host + ":" + port);
        if (pool != null) {
            List.copyOf(pool).forEach(entry -> entry.channel().close());
        }
    }

    private static String address(HttpCall call) {
        return call.host() + ":" + call.port();
    }
}
