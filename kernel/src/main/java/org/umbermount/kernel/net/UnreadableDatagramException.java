package org.umbermount.kernel.net;

import org.umbermount.kernel.MessagePackCodec;

/** A datagram that cannot become part of a message; it is counted under its reason and dropped. */
final class UnreadableDatagramException extends MessagePackCodec.UnreadableException {
    private static final long serialVersionUID = 1L;

    /** Why a datagram is dropped; the name in lower case is part of the meter's name. */
    enum Reason {
        /** It does not begin like one of ours. */
        FOREIGN("a foreign datagram"),
        /** Its checksum is wrong, or its head does not fit it. */
        DAMAGED("a damaged datagram"),
        /** It is a part of a message of another life of its sender than the parts before. */
        MIXED_LIVES("parts of two lives of a sender share an id"),
        /** It is a part of another message than the parts before. */
        MIXED_MESSAGES("parts of two messages share an id"),
        /** The message is whole and cannot be decompressed. */
        NOT_INFLATABLE("a message cannot be unpacked");

        private final String sentence;

        Reason(String sentence) {
            this.sentence = sentence;
        }
    }

    private final Reason reason;

    UnreadableDatagramException(Reason reason, Throwable cause) {
        super(reason.sentence, cause);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }
}
