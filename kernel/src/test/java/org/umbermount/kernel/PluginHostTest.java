package org.umbermount.kernel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.testing.FakeClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

class PluginHostTest {
    /** A part found through the test's own service file. */
    public static final class Recorder implements Plugin {
        static final List<String> EVENTS = new ArrayList<>();
        static Thread opener;
        static boolean broken;
        static Error error;
        static boolean refusesSettings;

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
            if (error != null) {
                throw error;
            }
        }

        @Override
        public void reread(Settings rules) {
            EVENTS.add("reread");
            if (refusesSettings) {
                throw new IllegalStateException("no use for them");
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

    @BeforeEach
    void forget() {
        Recorder.EVENTS.clear();
        Recorder.broken = false;
        Recorder.error = null;
        Recorder.refusesSettings = false;
    }

    /** Parts opened beside the loop once met changes that the loop was making, and the start failed. */
    @Test
    void partsOpenOnTheLoopAndLeaveInOrder() throws Exception {
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

    /** Only exceptions ended the start once: after an error the process stayed, with half of its parts, for good. */
    @Test
    void errorOfAPartEndsTheStartToo() {
        Recorder.error = new NoClassDefFoundError("played by the test");
        ExecutionException e = assertTimeoutPreemptively(
                Duration.ofSeconds(10),
                () -> assertThrows(ExecutionException.class, () -> pluginHost(new Thread[1])
                        .openAll()));
        assertSame(Recorder.error, e.getCause());
    }

    @Test
    void settingsThatAPartCannotUseAreInForceForTheOthers() throws Exception {
        PluginHost pluginHost = pluginHost(new Thread[1]);
        pluginHost.openAll();
        Settings fresh = SettingsTest.valid();
        Recorder.refusesSettings = true;
        pluginHost.reread(fresh);
        assertSame(fresh, pluginHost.rules());
        assertEquals(List.of("open", "reread"), Recorder.EVENTS);
    }

    @Test
    void nothingIsOpenedOnceTheProgramLeaves() throws Exception {
        PluginHost pluginHost = pluginHost(new Thread[1]);
        pluginHost.leave(() -> Recorder.EVENTS.add("done"));
        pluginHost.openAll();
        assertEquals(List.of("done"), Recorder.EVENTS);
    }

    @Test
    void metersAreCountedOnTheLoopOnly() {
        boolean[] inLoop = {true};
        Metrics metrics = new Metrics(() -> inLoop[0]);
        metrics.count("a");
        inLoop[0] = false;
        assertThrows(AssertionError.class, () -> metrics.count("a"));
        assertEquals(1, metrics.counter("a").count());
    }
}
