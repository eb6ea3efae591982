package org.umbermount.kernel;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.testing.FakeClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PluginHostTest {
    /** A part found through the test's own service file. */
    public static final class Recorder implements Plugin {
        static final List<String> EVENTS = new ArrayList<>();
        static Thread opener;
        static boolean broken;

        @Override
        public String name() {
            return "recorder";
        }

        @Override
        public int order() {
            return 1;
        }

        @Override
        public boolean serves(Role role) {
            return role == Role.PROXY;
        }

        @Override
        public void open(PluginHost pluginHost) {
            opener = Thread.currentThread();
            EVENTS.add("open");
            if (broken) {
                throw new IllegalStateException("no");
            }
        }

        @Override
        public void leave(Runnable done) {
            EVENTS.add("leave");
            done.run();
        }
    }

    private static PluginHost pluginHost(Thread[] loop) {
        FakeClock clock = new FakeClock();
        Clock threaded = new Clock() {
            @Override
            public MonotonicTime now() {
                return clock.now();
            }

            @Override
            public long wallMillis() {
                return clock.wallMillis();
            }

            @Override
            public Cancellable after(long ms, Runnable task) {
                return clock.after(ms, task);
            }

            @Override
            public void execute(Runnable task) {
                loop[0] = new Thread(task);
                loop[0].start();
            }
        };
        return new PluginHost(Role.PROXY, null, threaded);
    }

    /** Parts opened beside the loop once met changes that the loop was making, and the start failed. */
    @Test
    void partsOpenOnTheLoopAndLeaveInOrder() throws Exception {
        Recorder.EVENTS.clear();
        Recorder.broken = false;
        Thread[] loop = new Thread[1];
        PluginHost pluginHost = pluginHost(loop);
        pluginHost.openAll();
        assertEquals(loop[0], Recorder.opener);
        pluginHost.leave(() -> Recorder.EVENTS.add("done"));
        assertEquals(List.of("open", "leave", "done"), Recorder.EVENTS);
    }

    @Test
    void partThatCannotOpenEndsTheStart() {
        Recorder.broken = true;
        assertThrows(
                IllegalStateException.class, () -> pluginHost(new Thread[1]).openAll());
    }
}
