package org.umbermount.umbermount;

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
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.kernel.net.Mailroom;

/** One running program: reads its settings, opens its parts, and leaves in order when told to. */
final class Daemon {
    private static final String VARIABLE = "UMBERMOUNT_CONFIG";
    private static final long REREAD_MS = 4_000;
    private static final int EARLY_BACKLOG = 1_024;

    private final Role role;
    private final Path file;
    private Logger log;
    private byte[] lastRead;
    private Institution institution;
    private LoopClock clock;
    private boolean leaving;

    Daemon(Role role, Path file) {
        this.role = role;
        this.file = file;
    }

    static void run(Role role) {
        prepare();
        String name = System.getenv(VARIABLE);
        if (name == null || name.isEmpty()) {
            System.err.println("The variable " + VARIABLE + " must name the settings file.");
            System.exit(2);
        }
        Daemon daemon = new Daemon(role, Path.of(name));
        try {
            daemon.start();
        } catch (HouseRules.InvalidException | IllegalStateException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (Exception e) {
            System.err.println("The program could not start: " + e + ".");
            System.exit(1);
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
        HouseRules rules = HouseRules.load(file);
        lastRead = Files.readAllBytes(file);
        ServerSocketChannel early = role == Role.LECTOR ? listenEarly(rules) : null;
        log = LoggerFactory.getLogger("umbermount");
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        clock = new LoopClock(loop);
        institution = new Institution(role, rules, clock);
        Mailroom mailroom = new Mailroom(rules.ownMail(role), clock, institution.tally());
        institution.offer(Postbag.class, mailroom);
        if (early != null) {
            institution.offer(ServerSocketChannel.class, early);
        }
        mailroom.bind(loop);
        institution.openAll();
        watchSignals();
        clock.every(REREAD_MS, this::rereadIfChanged);
        log.info("{} runs as {} in {}.", rules.nodeName(), role.name().toLowerCase(java.util.Locale.ROOT), rules.zone());
    }

    /**
     * Opens the clients' address before anything else is loaded: connections made meanwhile wait in the system's
     * queue for the few hundred milliseconds of the start, instead of being refused.
     */
    private static ServerSocketChannel listenEarly(HouseRules rules) throws IOException {
        Imprint http = rules.listeners().get("http");
        if (http == null) {
            return null;
        }
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(http.socketAddress(), EARLY_BACKLOG);
        return channel;
    }

    private void watchSignals() {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), s -> clock.execute(this::rereadIfChanged));
        sun.misc.Signal.handle(new sun.misc.Signal("TERM"), s -> clock.execute(this::leave));
        sun.misc.Signal.handle(new sun.misc.Signal("INT"), s -> clock.execute(this::leave));
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        log.info("Told to stop.");
        institution.leave(() -> {
            log.info("Everything is finished.");
            Runtime.getRuntime().halt(0);
        });
    }

    private void rereadIfChanged() {
        try {
            byte[] bytes = Files.readAllBytes(file);
            if (Arrays.equals(bytes, lastRead)) {
                return;
            }
            lastRead = bytes;
            institution.reread(HouseRules.parse(bytes));
            log.info("The settings have been read again.");
        } catch (IOException | HouseRules.InvalidException e) {
            log.warn("The changed settings are not used: {}", e.getMessage());
        }
    }
}
