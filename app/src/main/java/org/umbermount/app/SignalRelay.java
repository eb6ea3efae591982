package org.umbermount.app;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import org.umbermount.kernel.Safeguard;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Carries signals from the JVM's signal threads to whoever serves them. It is installed before anything else of a
 * program, since a signal without a handler ends the process: one that comes while the program is still starting is
 * kept until somebody is there to serve it. All fields are guarded by the relay's monitor.
 */
final class SignalRelay implements SignalHandler {
    private static final String RELOAD_SIGNAL = "HUP";

    /** What a signal asks for. */
    enum Request {
        /** SIGHUP: the settings file has changed. */
        RELOAD,
        /** SIGTERM or SIGINT. */
        STOP
    }

    private final Set<Request> early = EnumSet.noneOf(Request.class);
    private Consumer<Request> receiver;

    /** Takes over the signals of this process. */
    void install() {
        Signal.handle(new Signal(RELOAD_SIGNAL), this);
        Signal.handle(new Signal("TERM"), this);
        Signal.handle(new Signal("INT"), this);
    }

    @Override
    public void handle(Signal signal) {
        deliver(signal.getName().equals(RELOAD_SIGNAL) ? Request.RELOAD : Request.STOP);
    }

    /** Passes a request on, or keeps it while there is no receiver; may be called on any thread. */
    synchronized void deliver(Request request) {
        if (receiver != null) {
            receiver.accept(request);
        } else if (Safeguard.EARLY_SIGNALS_KEPT.holds()) {
            early.add(request);
        }
    }

    /** Sets who serves the requests from now on, those kept so far first; the receiver must not wait. */
    synchronized void connect(Consumer<Request> to) {
        receiver = to;
        early.forEach(to);
        early.clear();
    }
}
