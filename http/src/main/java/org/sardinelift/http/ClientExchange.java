package org.sardinelift.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/** One call in flight; its callbacks run on its connection's event loop. */
final class ClientExchange implements ResponseMemory.Holder {
    private static final String KEEP_ALIVE = "keep-alive";

    private final HttpClient client;
    private final HttpCall call;
    private final ResponseBounds bounds;
    private final HttpResponseListener listener;
    private final ResponseMemory memory;
    private volatile @Nullable Channel channel;
    private volatile boolean isCancelled;
    private boolean isPooled;
    private boolean wasSent;
    private boolean isHeadReceived;
    private boolean isKeepAlive = true;
    private boolean isWritten;
    private @Nullable String keepAliveHeader;
    private boolean isDone;
    private long sentAt;
    private long lastByteNanos;
    private long bodyBytes;
    private @Nullable ScheduledFuture<?> silenceTimer;

    ClientExchange(
            HttpClient client,
            HttpCall call,
            ResponseBounds bounds,
            ResponseMemory memory,
            HttpResponseListener listener) {
        this.memory = memory;
        this.client = client;
        this.call = call;
        this.bounds = bounds;
        this.listener = listener;
    }

    void sendOver(Channel target, boolean fromPool) {
        channel = target;
        if (!target.eventLoop().inEventLoop()) {
            target.eventLoop().execute(() -> write(target, fromPool));
        } else {
            write(target, fromPool);
        }
    }

    private void write(Channel target, boolean fromPool) {
        isPooled = fromPool;
        if (isCancelled) {
            target.close();
            fail(new CancellationException("the call was cancelled before it was sent"), wasSent);
            return;
        }
        if (fromPool && !target.isActive()) {
            client.connect(call, this);
            return;
        }
        DefaultFullHttpRequest request;
        try {
            request = request();
        } catch (IllegalArgumentException e) {
            // A header or method that HTTP doesn't allow.
            target.close();
            fail(e, wasSent);
            return;
        }
        target.pipeline().get(ClientConnection.class).attach(this, call.method().equals("HEAD"));
        isWritten = false;
        wasSent = true;
        target.writeAndFlush(request)
                .addListener(
                        future -> {
                            isWritten = future.isSuccess();
                            if (!isWritten) {
                                onConnectionLost(future.cause());
                            }
                        });
        sentAt = System.nanoTime();
        lastByteNanos = sentAt;
        checkSilence(target);
    }

    private DefaultFullHttpRequest request() {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        call.uri(),
                        Unpooled.wrappedBuffer(call.body()));
        call.headers().forEach(header -> request.headers().add(header.getKey(), header.getValue()));
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, call.host() + ":" + call.port());
        }
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        return request;
    }

    private void checkSilence(Channel target) {
        if (isDone) {
            return;
        }
        long now = System.nanoTime();
        long silenceLeft = call.silenceTimeout().toNanos() - (now - lastByteNanos);
        long timeLeft = bounds.maxTime().toNanos() - (now - sentAt);
        if (silenceLeft <= 0) {
            abort("no byte received for " + call.silenceTimeout().toMillis() + " ms");
        } else if (timeLeft <= 0) {
            abort("the response is not complete after " + bounds.maxTime().toMillis() + " ms");
        } else {
            silenceTimer =
                    target.eventLoop()
                            .schedule(
                                    () -> checkSilence(target),
                                    Math.min(silenceLeft, timeLeft) + 1,
                                    TimeUnit.NANOSECONDS);
        }
    }

    private void abort(String reason) {
        abort(new TimeoutException(reason));
    }

    private void abort(Exception cause) {
        Channel open = channel;
        fail(cause, true);
        if (open != null) {
            open.close();
        }
    }

    /** Cancels the timer too: it would keep the call and its body in memory until it fires. */
    private void finish() {
        isDone = true;
        memory.onEnded(this);
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
    }

    void onHead(HttpResponse head) {
        if (isDone) {
            return;
        }
        lastByteNanos = System.nanoTime();
        isHeadReceived = true;
        // A peer that repeats a 421 would answer the next call with it (RFC 9110, section 15.5.20).
        isKeepAlive =
                HttpUtil.isKeepAlive(head)
                        && !head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        keepAliveHeader = head.headers().get(KEEP_ALIVE);
        listener.onHead(head.status().code(), head.headers().entries());
    }

    void onData(byte[] part) {
        lastByteNanos = System.nanoTime();
        bodyBytes += part.length;
        if (isDone) {
            return;
        }
        if (bodyBytes > bounds.maxBodyBytes()) {
            abort("the body is longer than " + bounds.maxBodyBytes() + " bytes");
        } else if (part.length > 0) {
            listener.onData(part);
            if (!isDone) {
                memory.onChanged(this);
            }
        }
    }

    @Override
    public long heldBytes() {
        return listener.heldBytes();
    }

    @Override
    public void evict(String reason) {
        Channel open = channel;
        if (open != null && open.eventLoop().inEventLoop()) {
            abort(new IOException(reason));
        } else if (open != null) {
            open.eventLoop().execute(() -> abort(new IOException(reason)));
        }
    }

    void onEnd(Channel source) {
        if (isDone) {
            source.close();
            return;
        }
        finish();
        // A peer that responded early would read the next request as the rest of this body.
        if (isKeepAlive && isWritten && !isCancelled && source.isActive()) {
            client.returnToPool(call, source, keepAliveHeader);
        } else {
            source.close();
        }
        listener.onEnd();
    }

    /** No connection could be opened. The call may have run over an earlier one. */
    void onConnectFailed(Throwable cause) {
        fail(cause, wasSent);
    }

    /** The connection is lost: sends a repeatable call again if the peer closed an idle one. */
    void onConnectionLost(Throwable cause) {
        if (isDone) {
            return;
        }
        if (isPooled && !isHeadReceived && !isCancelled && call.isRepeatable()) {
            isPooled = false;
            client.connect(call, this);
            return;
        }
        fail(cause, true);
    }

    private void fail(Throwable cause, boolean mayHaveRun) {
        if (isDone) {
            return;
        }
        finish();
        listener.onFailure(cause, mayHaveRun);
    }

    void cancel() {
        isCancelled = true;
        Channel open = channel;
        if (open == null) {
            return;
        }
        open.eventLoop()
                .execute(
                        () -> {
                            if (!isDone) {
                                fail(new CancellationException("the call was cancelled"), true);
                                open.close();
                            }
                        });
    }

    static Throwable closed() {
        return new ClosedChannelException();
    }
}
