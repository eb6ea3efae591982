package org.umbermount.proxy;

import java.util.function.Function;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;

/** A postbag behind which one scripted controller answers. */
final class FakeCounterPost implements Postbag {
    private final Clock clock;
    private final Function<Script.Reader, byte[]> controller;
    private Listener listener;

    FakeCounterPost(Clock clock, Function<Script.Reader, byte[]> controller) {
        this.clock = clock;
        this.controller = controller;
    }

    @Override
    public Imprint self() {
        return Imprint.parse("10.0.0.9:7001");
    }

    @Override
    public void send(Imprint to, Topic topic, byte[] body) {
        byte[] reply = controller.apply(Script.read(body));
        if (reply != null) {
            clock.execute(() -> {
                try {
                    listener.receive(to, reply);
                } catch (Script.UnreadableException e) {
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
