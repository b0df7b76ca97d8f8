package org.sardinelift.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection after a response whose caller may still be sending its request. Closing at
 * once would reset the connection, and a reset may discard the response before the caller reads it.
 * The output is closed and the rest of the request discarded, up to a number of bytes and a time.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final long MAX_DISCARDED_BYTES = 8L << 20;
    private static final long MAX_LINGER_MS = 2_000;

    private long discardedBytes;
    private @Nullable ScheduledFuture<?> timeout;

    private LingeringClose() {}

    /**
     * Closes a connection whose last response has been written.
     *
     * @param channel the connection
     */
    static void start(Channel channel) {
        channel.eventLoop().execute(() -> closeOutput(channel));
    }

    private static void closeOutput(Channel channel) {
        if (!channel.isActive()) {
            channel.close();
            return;
        }
        channel.pipeline().replace(HttpServerCodec.class, null, new LingeringClose());
        SslHandler tls = channel.pipeline().get(SslHandler.class);
        if (tls == null) {
            ((SocketChannel) channel).shutdownOutput();
        } else {
            tls.closeOutbound();
        }
        channel.read();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        timeout =
                context.executor()
                        .schedule(
                                () -> context.close().isDone(),
                                MAX_LINGER_MS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            discardedBytes += bytes.readableBytes();
        }
        ReferenceCountUtil.release(message);
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        context.fireChannelInactive();
    }
}
