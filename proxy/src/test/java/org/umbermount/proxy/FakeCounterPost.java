package org.umbermount.proxy;

import java.util.function.Function;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/** A postbag behind which one scripted controller answers. */
final class FakeCounterPost implements Messenger {
    private final Clock clock;
    private final Function<MessagePackCodec.Reader, byte[]> controller;
    private Listener listener;

    FakeCounterPost(Clock clock, Function<MessagePackCodec.Reader, byte[]> controller) {
        this.clock = clock;
        this.controller = controller;
    }

    @Override
    public DaemonAddress self() {
        return DaemonAddress.parse("10.0.0.9:7001");
    }

    @Override
    public void send(DaemonAddress to, Topic topic, byte[] body) {
        byte[] reply = controller.apply(MessagePackCodec.read(body));
        if (reply != null) {
            clock.execute(() -> {
                try {
                    listener.receive(to, reply);
                } catch (MessagePackCodec.UnreadableException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }

    @Override
    public void subscribe(Topic topic, Listener l) {
        listener = l;
    }
}
