package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Netty's decoder, refusing what could be read in two ways. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** A request that carries both a length and chunks. */
    static final class AmbiguousException extends IllegalArgumentException {
        AmbiguousException() {
            super("both a length and chunks");
        }
    }

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(16_384)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setValidateHeaders(true)
                .setInitialBufferSize(256));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new AmbiguousException();
    }
}
