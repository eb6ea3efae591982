package org.umbermount.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.DatagramMessenger;
import org.umbermount.kernel.net.LoopClock;

/** One running program: reads its settings, opens its parts, and leaves in order when told to. */
final class Daemon {
    private static final String VARIABLE = "UMBERMOUNT_CONFIG";
    private static final long REREAD_MS = 4_000;
    private static final int EARLY_BACKLOG = 1_024;

    private final Role role;
    private final Path file;
    private final SignalRelay signals;
    private final Runnable end;
    // Set by the thread that starts, before the loop is handed anything; from then on the loop's alone.
    private byte[] lastRead;
    private PluginHost pluginHost;
    private boolean leaving;

    /**
     * @param signals where the requests to stop and to read the settings again come from
     * @param end ends the process once everything is closed
     */
    Daemon(Role role, Path file, SignalRelay signals, Runnable end) {
        this.role = role;
        this.file = file;
        this.signals = signals;
        this.end = end;
    }

    /** Not a constant: the log is loaded only after the clients' address is open. */
    private static Logger log() {
        return LoggerFactory.getLogger("umbermount");
    }

    static void run(Role role) {
        SignalRelay signals = new SignalRelay();
        signals.install();
        prepare();
        String name = System.getenv(VARIABLE);
        if (name == null || name.isEmpty()) {
            System.err.println("The variable " + VARIABLE + " must name the settings file.");
            System.exit(2);
        }
        Daemon daemon = new Daemon(role, Path.of(name), signals, new ProcessEnd());
        try {
            daemon.start();
        } catch (Settings.InvalidException | IllegalStateException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (Throwable e) {
            // An error too: the loop's thread would keep the process, which serves nobody.
            System.err.println("The program could not start: " + e + ".");
            System.exit(1);
        }
    }

    /** Ends the process. Not a lambda: the first one of a start costs time before the clients' address is open. */
    static final class ProcessEnd implements Runnable {
        @Override
        public void run() {
            Runtime.getRuntime().halt(0);
        }
    }

    /** Settles what would otherwise be looked for at each start. */
    static void prepare() {
        // Netty would look for a hardware address to tell channels of different machines apart; nothing here does.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        // Objects are made anew instead of taken from pools, whose queues are more code than a short life pays back.
        System.setProperty("io.netty.recycler.maxCapacityPerThread", "0");
        // Named here, the log backend is not searched for in every jar.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", ConsoleLogging.class.getName());
    }

    void start() throws Exception {
        byte[] settings = Settings.read(file);
        // The very bytes that are in use: read a second time, a change in between would never be noticed.
        lastRead = settings;
        Settings rules = Settings.parse(settings);
        ServerSocketChannel early = role == Role.PROXY ? listenEarly(rules) : null;
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        LoopClock clock = new LoopClock(loop);
        pluginHost = new PluginHost(role, rules, clock);
        DatagramMessenger mailroom = new DatagramMessenger(rules.ownMail(role), clock, pluginHost.metrics());
        pluginHost.offer(Messenger.class, mailroom);
        if (early != null) {
            pluginHost.offer(ServerSocketChannel.class, early);
        }
        mailroom.bind(loop);
        signals.connect(request -> clock.execute(() -> serve(request)));
        pluginHost.openAll();
        clock.execute(() -> clock.every(REREAD_MS, this::rereadIfChanged));
        log().info(
                        "{} runs as {} in {}.",
                        rules.nodeName(),
                        role.name().toLowerCase(java.util.Locale.ROOT),
                        rules.zone());
    }

    /**
     * Opens the clients' address before anything else is loaded: connections made meanwhile wait in the system's
     * queue for the few hundred milliseconds of the start, instead of being refused.
     */
    private static ServerSocketChannel listenEarly(Settings rules) throws IOException {
        DaemonAddress http = rules.listeners().get("http");
        if (http == null) {
            return null;
        }
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(http.socketAddress(), EARLY_BACKLOG);
        return channel;
    }

    /** Serves a signal, on the loop. */
    private void serve(SignalRelay.Request request) {
        if (request == SignalRelay.Request.STOP) {
            leave();
        } else {
            rereadIfChanged();
        }
    }

    /** Closes the parts that are open and ends the process; also before the first one has been opened. */
    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        log().info("Told to stop.");
        pluginHost.leave(() -> {
            log().info("Everything is finished.");
            end.run();
        });
    }

    private void rereadIfChanged() {
        if (leaving) {
            // The parts are closing one after the other; new settings are the next process's.
            return;
        }
        try {
            byte[] bytes = Files.readAllBytes(file);
            if (Arrays.equals(bytes, lastRead)) {
                return;
            }
            lastRead = bytes;
            pluginHost.reread(Settings.parse(bytes));
            log().info("The settings have been read again.");
        } catch (IOException | Settings.InvalidException e) {
            log().warn("The changed settings are not used: {}", e.getMessage());
        }
    }
}
