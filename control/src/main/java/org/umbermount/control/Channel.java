package org.umbermount.control;

import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;

/**
 * Sends the messages of one topic. Invariant: what this daemon sends to itself goes through the same bytes and the same
 * receiver as what others send, and never runs inside the sender's own step.
 */
final class Channel {
    private final Clock clock;
    private final Postbag post;
    private final Postbag.Topic topic;
    private final Postbag.Listener receiver;

    Channel(Clock clock, Postbag post, Postbag.Topic topic, Postbag.Listener receiver) {
        this.clock = clock;
        this.post = post;
        this.topic = topic;
        this.receiver = receiver;
    }

    /** Begins to receive. */
    void open() {
        post.subscribe(topic, receiver);
    }

    void send(Imprint to, Script.Writer out) {
        byte[] body = out.done();
        if (to.equals(post.self())) {
            clock.execute(() -> deliver(to, body));
        } else {
            post.send(to, topic, body);
        }
    }

    private void deliver(Imprint self, byte[] body) {
        try {
            receiver.receive(self, body);
        } catch (Script.UnreadableException e) {
            throw new IllegalStateException(e);
        }
    }
}
