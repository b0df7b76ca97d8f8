package org.sardinelift.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decoder of one connection's responses that knows which bytes belong to none of them. */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean isForHeadRequest;

    ResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
        super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
    }

    /** Sets whether the next response answers a HEAD request and thus has no body. */
    void setForHeadRequest(boolean isHead) {
        isForHeadRequest = isHead;
    }

    /** Returns whether bytes were received that are not part of a decoded message. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isForHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
