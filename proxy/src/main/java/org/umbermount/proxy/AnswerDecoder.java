package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Netty's decoder of answers, told whether the request was a HEAD, and showing whether bytes are left over. */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean toHead;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Whether the answer that comes next is to a HEAD, and so has no body. */
    void toHead(boolean head) {
        toHead = head;
    }

    /** Whether bytes have come that are part of nothing yet. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return toHead || super.isContentAlwaysEmpty(message);
    }
}
