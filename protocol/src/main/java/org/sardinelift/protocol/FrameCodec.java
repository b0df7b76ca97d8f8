package org.sardinelift.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.TooLongFrameException;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;
import org.sardinelift.protocol.generated.Frame;

/** Codec of frames in the compact Thrift protocol, each preceded by its length in four bytes. */
final class FrameCodec {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_NESTING = 16;

    private FrameCodec() {}

    static void install(ChannelPipeline pipeline, int maxFrameBytes) {
        try {
            pipeline.addLast(new Decoder(maxFrameBytes)).addLast(new Encoder(maxFrameBytes));
        } catch (TTransportException e) {
            throw new IllegalStateException("a codec over byte arrays opens no transport", e);
        }
    }

    private static final class Decoder extends LengthFieldBasedFrameDecoder {
        private final TDeserializer deserializer;

        Decoder(int maxFrameBytes) throws TTransportException {
            super(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
            TConfiguration limits = new TConfiguration(maxFrameBytes, maxFrameBytes, MAX_NESTING);
            deserializer =
                    new TDeserializer(
                            transport -> {
                                transport.getConfiguration().setMaxMessageSize(maxFrameBytes);
                                transport
                                        .getConfiguration()
                                        .setRecursionLimit(limits.getRecursionLimit());
                                return new TCompactProtocol(
                                        transport, maxFrameBytes, maxFrameBytes);
                            });
        }

        @Override
        protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
            ByteBuf encoded = (ByteBuf) super.decode(context, in);
            if (encoded == null) {
                return null;
            }
            try {
                Frame frame = new Frame();
                deserializer.deserialize(frame, ByteBufUtil.getBytes(encoded));
                return frame;
            } finally {
                encoded.release();
            }
        }
    }

    private static final class Encoder extends MessageToByteEncoder<Frame> {
        private final int maxFrameBytes;
        private final TSerializer serializer;

        Encoder(int maxFrameBytes) throws TTransportException {
            super(Frame.class);
            this.maxFrameBytes = maxFrameBytes;
            serializer = new TSerializer(new TCompactProtocol.Factory());
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
            byte[] body = serialize(frame);
            if (body.length > maxFrameBytes) {
                throw new TooLongFrameException(
                        "a frame of "
                                + body.length
                                + " bytes exceeds the limit of "
                                + maxFrameBytes);
            }
            out.ensureWritable(LENGTH_BYTES + body.length);
            out.writeInt(body.length).writeBytes(body);
        }

        private byte[] serialize(Frame frame) {
            try {
                return serializer.serialize(frame);
            } catch (TException e) {
                throw new EncoderException(e);
            }
        }
    }
}
