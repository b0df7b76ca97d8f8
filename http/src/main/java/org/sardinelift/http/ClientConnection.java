package org.sardinelift.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/** Reads the responses of one connection and passes them to its current call. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private @Nullable ClientExchange currentExchange;
    private boolean isInterim;

    void attach(ClientExchange next) {
        currentExchange = next;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            ClientExchange current = currentExchange;
            if (current == null) {
                // Bytes without a request: later responses could not be matched to requests either.
                context.close();
            } else if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                failCall(context, part.decoderResult().cause());
            } else {
                readMessage(context, current, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readMessage(
            ChannelHandlerContext context, ClientExchange current, Object message) {
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
                current.onEnd(context.channel());
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failCall(context, ClientExchange.closed());
    }

    /** The end of a connection completes a response without a length, but a reset fails it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
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
