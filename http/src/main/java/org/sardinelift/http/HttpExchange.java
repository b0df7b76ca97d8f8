package org.sardinelift.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** One request and its response. All methods may be called from any thread. */
public final class HttpExchange {
    private final Channel channel;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final BooleanSupplier keepAlive;
    private final Runnable onResponseWritten;
    private final AtomicBoolean isStarted = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean isCloseAnnounced;
    private final Queue<ChannelFutureListener> closeListeners = new ConcurrentLinkedQueue<>();

    HttpExchange(
            Channel channel,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            BooleanSupplier keepAlive,
            Runnable onResponseWritten) {
        this.channel = channel;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.keepAlive = keepAlive;
        this.onResponseWritten = onResponseWritten;
    }

    /**
     * Request method.
     *
     * @return name of the method in upper case
     */
    public String method() {
        return method.name();
    }

    /**
     * Request target as sent, with the query.
     *
     * @return path and query
     */
    public String uri() {
        return uri;
    }

    /**
     * Decoded path.
     *
     * @return path without query
     */
    public String path() {
        return new QueryStringDecoder(uri).path();
    }

    /**
     * Decoded query parameters.
     *
     * @return values by name
     */
    public Map<String, List<String>> query() {
        return new QueryStringDecoder(uri).parameters();
    }

    /**
     * First value of a query parameter.
     *
     * @param name parameter name
     * @return its value, or null if it is absent
     */
    public @Nullable String query(String name) {
        List<String> values = query().get(name);
        return values == null ? null : values.get(0);
    }

    /**
     * First value of a request header.
     *
     * @param name header name, any case
     * @return its value, or null if it is absent
     */
    public @Nullable String header(String name) {
        return headers.get(name);
    }

    /**
     * All request headers.
     *
     * @return the headers as received
     */
    public Iterable<Map.Entry<String, String>> headers() {
        return headers.entries();
    }

    /**
     * Complete request body.
     *
     * @return body bytes, empty if there is no body
     */
    public byte[] body() {
        return body;
    }

    /**
     * Request body as text.
     *
     * @return body decoded as UTF-8
     */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Sends a complete response. Does nothing if a response was already started.
     *
     * @param status HTTP status code
     * @param responseHeaders extra headers
     * @param responseBody body bytes
     */
    public void respond(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        respond(status, List.copyOf(responseHeaders.entrySet()), responseBody);
    }

    /**
     * Sends a complete response. Does nothing if a response was already started.
     *
     * @param status HTTP status code
     * @param responseHeaders headers in order, without content-length
     * @param responseBody body bytes
     */
    public void respond(
            int status, List<Map.Entry<String, String>> responseHeaders, byte[] responseBody) {
        if (!isStarted.compareAndSet(false, true)) {
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(responseBody));
        responseHeaders.forEach(
                header -> response.headers().add(header.getKey(), header.getValue()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, responseBody.length);
        finish(response);
    }

    /**
     * Sends a complete JSON response.
     *
     * @param status HTTP status code
     * @param json body
     */
    public void respondJson(int status, String json) {
        respond(
                status,
                Map.of("content-type", "application/json"),
                json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Starts a streamed response (chunked transfer coding).
     *
     * @param status HTTP status code
     * @param responseHeaders extra headers
     */
    public void start(int status, Map<String, String> responseHeaders) {
        start(status, List.copyOf(responseHeaders.entrySet()));
    }

    /**
     * Starts a streamed response (chunked transfer coding).
     *
     * @param status HTTP status code
     * @param responseHeaders headers in order
     */
    public void start(int status, List<Map.Entry<String, String>> responseHeaders) {
        if (!isStarted.compareAndSet(false, true)) {
            return;
        }
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        responseHeaders.forEach(
                header -> response.headers().add(header.getKey(), header.getValue()));
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(response, true);
        isCloseAnnounced = !keepAlive.getAsBoolean();
        HttpUtil.setKeepAlive(response, !isCloseAnnounced);
        channel.writeAndFlush(response);
    }

    /**
     * Sends a part of a streamed response.
     *
     * @param part body bytes
     */
    public void write(byte[] part) {
        if (isStarted.get() && !ended.get()) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
        }
    }

    /** Ends a streamed response. */
    public void end() {
        if (isStarted.get()) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    /**
     * Closes the connection without completing the response, so that the caller sees it truncated.
     */
    public void abort() {
        if (ended.compareAndSet(false, true)) {
            channel.close();
        }
    }

    /**
     * Whether a response was started.
     *
     * @return true once status and headers were sent
     */
    public boolean isStarted() {
        return isStarted.get();
    }

    /**
     * Whether the caller is still connected.
     *
     * @return true while the connection is open
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Whether the caller reads as fast as the response is written.
     *
     * @return false while unsent bytes exceed the connection's limit
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Bytes of the response that wait for the caller to read.
     *
     * @return number of bytes above the connection's limit, 0 while the caller reads fast enough
     */
    public long unsentBytes() {
        return channel.bytesBeforeWritable();
    }

    /**
     * Runs an action if the connection closes before the complete response was written.
     *
     * @param action action to run on the event loop
     */
    public void addCloseListener(Runnable action) {
        ChannelFutureListener listener = future -> action.run();
        closeListeners.add(listener);
        channel.closeFuture().addListener(listener);
        if (ended.get()) {
            removeCloseListeners();
        }
    }

    /** Listeners would accumulate on a connection that carries many requests. */
    private void removeCloseListeners() {
        closeListeners.forEach(channel.closeFuture()::removeListener);
        closeListeners.clear();
    }

    private void finish(Object last) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (last instanceof DefaultFullHttpResponse response) {
            isCloseAnnounced = !keepAlive.getAsBoolean();
            HttpUtil.setKeepAlive(response, !isCloseAnnounced);
        }
        channel.writeAndFlush(last)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                removeCloseListeners();
                            }
                            onResponseWritten.run();
                            if (isCloseAnnounced) {
                                channel.close();
                            }
                        })
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
}
