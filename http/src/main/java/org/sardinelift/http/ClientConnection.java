package org.sardinelift.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Reads the responses of one connection and passes them to its current call. The connection is
 * reused only if no byte follows a response: such bytes would be read as the next one.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final ResponseDecoder decoder;
    private @Nullable ClientExchange currentExchange;
    private @Nullable ClientExchange completedExchange;
    private boolean isInterim;

    ClientConnection(ResponseDecoder decoder) {
        this.decoder = decoder;
    }

    void attach(ClientExchange next, boolean isHeadRequest) {
        currentExchange = next;
        decoder.setForHeadRequest(isHeadRequest);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            ClientExchange current = currentExchange;
            if (current == null) {
                context.close();
            } else if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                failCall(context, part.decoderResult().cause());
            } else if (message instanceof HttpResponse head && !isDefined(head.status())) {
                String reason = "the response has status %d, which HTTP doesn't define";
                failCall(context, new IOException(reason.formatted(head.status().code())));
            } else {
                readMessage(current, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Whether HTTP defines the class of a status, so that it has a meaning (RFC 9110, 15). */
    private static boolean isDefined(HttpResponseStatus status) {
        return status.codeClass() != HttpStatusClass.UNKNOWN;
    }

    private void readMessage(ClientExchange current, Object message) {
        if (message instanceof HttpResponse head) {
            isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!isInterim) {
                current.onHead(head);
            }
        }
        if (message instanceof HttpContent content && !isInterim) {
            current.onData(ByteBufUtil.getBytes(content.content()));
            if (content instanceof LastHttpContent) {
                currentExchange = null;
                completedExchange = current;
            }
        }
    }

    /** All bytes received so far have been decoded, unless they are an incomplete message. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (currentExchange == null && decoder.hasUndecodedBytes()) {
            context.close();
        }
        endCompleted(context);
        context.fireChannelReadComplete();
    }

    private void endCompleted(ChannelHandlerContext context) {
        ClientExchange completed = completedExchange;
        completedExchange = null;
        if (completed != null) {
            completed.onEnd(context.channel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endCompleted(context);
        failCall(context, ClientExchange.closed());
    }

    /** The end of a connection completes a response without a length, but a reset fails it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        endCompleted(context);
        failCall(context, cause);
    }

    private void failCall(ChannelHandlerContext context, Throwable cause) {
        ClientExchange current = currentExchange;
        currentExchange = null;
        context.close();
        if (current != null) {
            current.onConnectionLost(cause);
        }
    }
}
