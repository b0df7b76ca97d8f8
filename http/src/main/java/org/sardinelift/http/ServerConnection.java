package org.sardinelift.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection: buffers a request within the limits and passes it to the handler. The
 * next request is read only after the response was written, so that pipelined requests are answered
 * in order.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final String REQUEST_ID = "x-request-id";

    private final Supplier<HttpLimits> limits;
    private final HttpHandler handler;
    private final ServerState state;
    private @Nullable ChannelHandlerContext connection;
    private @Nullable HttpRequest request;
    private @Nullable CompositeByteBuf body;
    private @Nullable ScheduledFuture<?> timer;
    private final Deque<Object> pipelined = new ArrayDeque<>();
    private boolean isResponding;
    private boolean isRefused;

    ServerConnection(Supplier<HttpLimits> limits, HttpHandler handler, ServerState state) {
        this.state = state;
        this.limits = limits;
        this.handler = handler;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection = context;
        schedule(context, limits.get().idleTimeout(), false);
        context.read();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endResponse();
        cancelTimer();
        releaseBody();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isResponding) {
            pipelined.add(message);
            return;
        }
        readMessage(context, message);
    }

    private void readMessage(ChannelHandlerContext context, Object message) {
        try {
            if (isRefused) {
                return;
            }
            if (message instanceof HttpRequest head) {
                onHead(context, head);
            }
            if (message instanceof HttpContent content && !isRefused) {
                onContent(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        // Reading continues while a response is written, to detect a close, but stops at a
        // pipelined request.
        if (pipelined.isEmpty()) {
            context.read();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void onHead(ChannelHandlerContext context, HttpRequest head) {
        schedule(context, limits.get().headTimeout(), true);
        if (head.decoderResult().isFailure()) {
            refuseHead(context, head.decoderResult().cause());
            return;
        }
        if (!head.headers().contains(HttpHeaderNames.HOST)
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            refuseMalformed(context, "an HTTP/1.1 request needs a Host header");
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.get().maxBodyBytes()) {
            refuseTooLarge(context);
            return;
        }
        request = head;
        body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        if (body == null || request == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseMalformed(context, "the body is not framed according to HTTP/1.1");
            return;
        }
        body.addComponent(true, content.content().retain());
        if (body.readableBytes() > limits.get().maxBodyBytes()) {
            refuseTooLarge(context);
            return;
        }
        if (content instanceof LastHttpContent) {
            dispatch(context, request, body);
        }
    }

    private void dispatch(
            ChannelHandlerContext context, HttpRequest head, CompositeByteBuf requestBody) {
        cancelTimer();
        isResponding = true;
        state.pendingResponses.incrementAndGet();
        byte[] bodyBytes = ByteBufUtil.getBytes(requestBody);
        releaseBody();
        request = null;
        HttpExchange exchange =
                new HttpExchange(
                        context.channel(),
                        head.method(),
                        head.uri(),
                        head.headers(),
                        bodyBytes,
                        () -> HttpUtil.isKeepAlive(head) && !state.isClosing,
                        () -> context.executor().execute(() -> onResponseWritten(context)));
        handler.handle(exchange);
    }

    private void onResponseWritten(ChannelHandlerContext context) {
        endResponse();
        schedule(context, limits.get().idleTimeout(), false);
        while (!isResponding && !pipelined.isEmpty()) {
            readMessage(context, pipelined.poll());
        }
        if (state.closesIdleConnections) {
            closeIfIdle();
        }
        if (pipelined.isEmpty()) {
            context.read();
        }
    }

    private void endResponse() {
        if (isResponding) {
            isResponding = false;
            state.pendingResponses.decrementAndGet();
        }
    }

    /** Must be called on the connection's event loop. */
    void closeIfIdle() {
        if (connection != null && !isResponding && !isRefused && request == null) {
            connection.close();
        }
    }

    private void refuseHead(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            String remedy = "Send fewer or shorter headers.";
            String detail =
                    "the headers are longer than " + limits.get().maxHeaderBytes() + " bytes";
            refuse(context, 431, "headers_too_large", detail, remedy);
        } else if (cause instanceof TooLongHttpLineException) {
            String remedy = "Send a shorter request line.";
            String detail =
                    "the request line is longer than " + limits.get().maxLineBytes() + " bytes";
            refuse(context, 414, "uri_too_long", detail, remedy);
        } else {
            refuseMalformed(context, "the request line or the headers are malformed");
        }
    }

    private void refuseMalformed(ChannelHandlerContext context, String detail) {
        refuse(context, 400, "malformed_http", detail, "Send a well-formed HTTP/1.1 request.");
    }

    private void refuseTooLarge(ChannelHandlerContext context) {
        String detail = "the body is longer than " + limits.get().maxBodyBytes() + " bytes";
        refuse(context, 413, "body_too_large", detail, "Send a smaller body.");
    }

    private void refuse(
            ChannelHandlerContext context, int status, String kind, String detail, String remedy) {
        String requestId = UUID.randomUUID().toString();
        isRefused = true;
        releaseBody();
        cancelTimer();
        String problem =
                "{\"type\":\"urn:sardinelift:problem:"
                        + kind
                        + "\",\"title\":\""
                        + kind.replace('_', ' ')
                        + "\",\"status\":"
                        + status
                        + ",\"kind\":\""
                        + kind
                        + "\",\"outcome\":\"not_run\",\"detail\":\""
                        + detail
                        + "\",\"remedy\":\""
                        + remedy
                        + "\",\"requestId\":\""
                        + requestId
                        + "\"}";
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(problem.getBytes(StandardCharsets.UTF_8)));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(REQUEST_ID, requestId)
                .set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response)
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(written -> LingeringClose.start(context.channel()));
    }

    private void schedule(ChannelHandlerContext context, Duration after, boolean isMidRequest) {
        cancelTimer();
        timer =
                context.executor()
                        .schedule(
                                () -> onTimeout(context, isMidRequest),
                                after.toMillis(),
                                TimeUnit.MILLISECONDS);
    }

    private void onTimeout(ChannelHandlerContext context, boolean isMidRequest) {
        if (isMidRequest) {
            refuse(
                    context,
                    408,
                    "request_timeout",
                    "the request did not arrive completely within "
                            + limits.get().headTimeout().toMillis()
                            + " ms",
                    "Send the whole request without pauses.");
        } else {
            context.close();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
