package org.umbermount.control;

import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/**
 * Sends the messages of one topic. Invariant: what this daemon sends to itself goes through the same bytes and the same
 * receiver as what others send, and never runs inside the sender's own step.
 */
final class Channel {
    private final Clock clock;
    private final Messenger messenger;
    private final Messenger.Topic topic;
    private final Messenger.Listener receiver;

    Channel(Clock clock, Messenger messenger, Messenger.Topic topic, Messenger.Listener receiver) {
        this.clock = clock;
        this.messenger = messenger;
        this.topic = topic;
        this.receiver = receiver;
    }

    /** Begins to receive. */
    void open() {
        messenger.subscribe(topic, receiver);
    }

    void send(DaemonAddress to, MessagePackCodec.Writer out) {
        byte[] body = out.done();
        if (to.equals(messenger.self())) {
            clock.execute(() -> deliver(to, body));
        } else {
            messenger.send(to, topic, body);
        }
    }

    private void deliver(DaemonAddress self, byte[] body) {
        try {
            receiver.receive(self, body);
        } catch (MessagePackCodec.UnreadableException e) {
            throw new IllegalStateException(e);
        }
    }
}
