package org.sardinelift.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import org.jspecify.annotations.Nullable;

/** Installs the handlers of a channel, from raw bytes up to frames. */
final class FramePipeline {
    private static final int FLUSH_AFTER_FRAMES = 64;

    private FramePipeline() {}

    static void install(
            Channel channel,
            @Nullable SslHandler tls,
            ConnectionLimits limits,
            ChannelConnection connection) {
        channel.config()
                .setOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                limits.maxUnsentBytes() / 2, limits.maxUnsentBytes()));
        channel.pipeline().addLast(connection.byteMonitor());
        if (tls != null) {
            channel.pipeline().addLast(tls);
        }
        channel.pipeline().addLast(new FlushConsolidationHandler(FLUSH_AFTER_FRAMES, true));
        FrameCodec.install(channel.pipeline(), limits.maxFrameBytes());
        channel.pipeline().addLast(connection);
    }
}
