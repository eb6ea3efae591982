package org.umbermount.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import org.umbermount.kernel.MessagePackCodec;

/** How an answer is packed that is kept for repeats of its operation. */
final class StoredAnswers {
    private StoredAnswers() {}

    static byte[] pack(Answer answer) {
        HttpHeaders kept = new DefaultHttpHeaders(false);
        HeaderNames.copyEndToEnd(answer.headers(), kept);
        // These were about the first try and the moment.
        kept.remove(HeaderNames.ATTEMPT).remove(HeaderNames.LOAD);
        List<Map.Entry<String, String>> headers = kept.entries();
        return MessagePackCodec.write()
                .num(answer.status())
                .list(headers, (o, e) -> o.text(e.getKey()).text(e.getValue()))
                .bytes(answer.body())
                .done();
    }

    static Answer unpack(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        int status = (int) in.num();
        HttpHeaders headers = new DefaultHttpHeaders(false);
        in.list(r -> headers.add(r.text(), r.text()));
        return new Answer(status, headers, in.bytes());
    }
}
