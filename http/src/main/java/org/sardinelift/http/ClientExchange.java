package org.sardinelift.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/** One call in flight; its callbacks run on the event loop of its connection. */
final class ClientExchange {
    private static final String KEEP_ALIVE = "keep-alive";

    private final HttpClient client;
    private final HttpCall call;
    private final HttpAnswerListener listener;
    private volatile @Nullable Channel channel;
    private volatile boolean cancelled;
    private boolean pooled;
    private boolean answered;
    private boolean keepAlive = true;
    private boolean written;
    private @Nullable String idleSeconds;
    private boolean done;
    private long lastByteNanos;
    private @Nullable ScheduledFuture<?> silenceTimer;

    ClientExchange(HttpClient client, HttpCall call, HttpAnswerListener listener) {
        this.client = client;
        this.call = call;
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
        pooled = fromPool;
        if (cancelled) {
            target.close();
            fail(new CancellationException("cancelled before it was sent"), false);
            return;
        }
        if (fromPool && !target.isActive()) {
            client.connect(call, this);
            return;
        }
        target.pipeline().get(ClientConnection.class).attach(this);
        written = false;
        target.writeAndFlush(request())
                .addListener(
                        future -> {
                            written = future.isSuccess();
                            if (!written) {
                                onBroken(future.cause());
                            }
                        });
        lastByteNanos = System.nanoTime();
        watchSilence(target);
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

    private void watchSilence(Channel target) {
        long limitNanos = call.silence().toNanos();
        long silentNanos = System.nanoTime() - lastByteNanos;
        if (done) {
            return;
        }
        if (silentNanos >= limitNanos) {
            fail(new TimeoutException("no byte for " + call.silence().toMillis() + " ms"), true);
            target.close();
            return;
        }
        silenceTimer =
                target.eventLoop()
                        .schedule(
                                () -> watchSilence(target),
                                limitNanos - silentNanos + 1,
                                TimeUnit.NANOSECONDS);
    }

    /** A timer that outlives its call would hold the whole call in memory until it fires. */
    private void finish() {
        done = true;
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
    }

    void onHead(HttpResponse head) {
        lastByteNanos = System.nanoTime();
        answered = true;
        keepAlive = HttpUtil.isKeepAlive(head);
        idleSeconds = head.headers().get(KEEP_ALIVE);
        listener.onHead(head.status().code(), head.headers().entries());
    }

    void onData(byte[] part) {
        lastByteNanos = System.nanoTime();
        if (part.length > 0) {
            listener.onData(part);
        }
    }

    void onEnd(Channel source) {
        finish();
        // A peer that answered early still takes what comes next for the rest of the body.
        if (keepAlive && written && !cancelled) {
            client.returnToPool(call, source, idleSeconds);
        } else {
            source.close();
        }
        listener.onEnd();
    }

    /** The connection broke with this call on it; only a repeatable one is sent again. */
    void onBroken(Throwable cause) {
        if (done) {
            return;
        }
        if (pooled && !answered && !cancelled && isSafe()) {
            pooled = false;
            client.connect(call, this);
            return;
        }
        fail(cause, true);
    }

    private boolean isSafe() {
        return call.method().equals("GET") || call.method().equals("HEAD");
    }

    void fail(Throwable cause, boolean mayHaveRun) {
        if (done) {
            return;
        }
        finish();
        listener.onFailure(cause, mayHaveRun);
    }

    void cancel() {
        cancelled = true;
        Channel open = channel;
        if (open == null) {
            return;
        }
        open.eventLoop()
                .execute(
                        () -> {
                            if (!done) {
                                fail(new CancellationException("cancelled"), true);
                                open.close();
                            }
                        });
    }

    static Throwable closed() {
        return new ClosedChannelException();
    }
}
