package org.umbermount.kernel;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.ServiceLoader;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The host of the plug-ins of one process: opens them, lets them find each other, and closes them in order. */
public final class PluginHost {
    private static final Logger LOG = LoggerFactory.getLogger("kernel");

    private static final String JOINED = "META-INF/umbermount/departments";

    private final Role role;
    private final Clock clock;
    private final Metrics metrics;
    private final Map<Class<?>, Object> offers = new HashMap<>();
    private final List<Plugin> open = new ArrayList<>();
    private final Random random;
    private Settings rules;
    private boolean leaving;

    /** Makes a host without plug-ins. The clock is offered at once; plug-ins are opened by {@link #openAll()}. */
    public PluginHost(Role role, Settings rules, Clock clock) {
        this(role, rules, clock, new SecureRandom());
    }

    /**
     * @param random where all numbers of this process come from that must differ from those of other lives
     */
    public PluginHost(Role role, Settings rules, Clock clock, Random random) {
        this.random = random;
        this.role = role;
        this.rules = rules;
        this.clock = clock;
        this.metrics = new Metrics(clock::inEventLoop);
        offer(Clock.class, clock);
    }

    /** The program that this process runs. */
    public Role role() {
        return role;
    }

    /** The settings in force; another record after they have been read again. */
    public Settings rules() {
        return rules;
    }

    /** The clock and timers of the process's event loop. */
    public Clock clock() {
        return clock;
    }

    /** Where numbers come from that tell this life of the process from others; used on the loop. */
    public Random random() {
        return random;
    }

    /** The counters and gauges of this process. */
    public Metrics metrics() {
        return metrics;
    }

    /** Offers a service to the plug-ins opened later. A later offer under the same type replaces the earlier one. */
    public <T> void offer(Class<T> type, T service) {
        offers.put(type, service);
    }

    /** What is offered under the type, or null. */
    public <T> T findOrNull(Class<T> type) {
        return type.cast(offers.get(type));
    }

    /**
     * The service offered under the type.
     *
     * @throws IllegalStateException if no plug-in opened so far offers it
     */
    public <T> T find(Class<T> type) {
        Object service = offers.get(type);
        if (service == null) {
            throw new IllegalStateException("No part offers " + type.getSimpleName() + ".");
        }
        return type.cast(service);
    }

    /**
     * Opens every part on the class path that serves the role. This happens on the loop, since parts that are open
     * already may be at work there while later ones are opened; the caller waits.
     */
    public void openAll() throws Exception {
        CompletableFuture<Void> opened = new CompletableFuture<>();
        clock.execute(() -> {
            try {
                openOnLoop();
                opened.complete(null);
            } catch (Throwable e) {
                // Also an error, as of memory: whoever waits has to learn that the start has failed.
                opened.completeExceptionally(e);
            }
        });
        try {
            opened.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    /** Something without which the program is of no use has failed: ends it with a sentence. */
    public void fatal(String sentence) {
        System.err.println(sentence);
        Runtime.getRuntime().halt(1);
    }

    private void openOnLoop() throws Exception {
        if (leaving) {
            // Told to stop before the first part was opened.
            return;
        }
        List<Plugin> found = new ArrayList<>();
        for (Plugin department : registered()) {
            if (department.serves(role)) {
                found.add(department);
            }
        }
        // A class of its own: the JDK's ready-made comparators are lambdas that each start would generate anew.
        found.sort(new Comparator<>() {
            @Override
            public int compare(Plugin first, Plugin second) {
                return Integer.compare(first.order(), second.order());
            }
        });
        for (Plugin department : found) {
            department.open(this);
            open.add(department);
        }
        LOG.info("Opened {} parts as {}.", open.size(), role.name().toLowerCase(java.util.Locale.ROOT));
    }

    /**
     * The parts that have registered themselves. The build joins their registrations into one list; where there is none,
     * as in tests, every jar is looked through.
     */
    private static Iterable<Plugin> registered() throws Exception {
        try (InputStream joined = PluginHost.class.getClassLoader().getResourceAsStream(JOINED)) {
            if (joined == null) {
                return ServiceLoader.load(Plugin.class);
            }
            List<Plugin> all = new ArrayList<>();
            for (String name : new String(joined.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
                if (!name.isBlank()) {
                    all.add((Plugin)
                            Class.forName(name.trim()).getDeclaredConstructor().newInstance());
                }
            }
            return all;
        }
    }

    /** Closes the parts one after the other, the last opened first, then runs {@code done}. */
    public void leave(Runnable done) {
        assert clock.inEventLoop() : "parts are closed beside the event loop";
        leaving = true;
        leaveFrom(open.size() - 1, done);
    }

    private void leaveFrom(int index, Runnable done) {
        if (index < 0) {
            done.run();
            return;
        }
        open.get(index).leave(() -> leaveFrom(index - 1, done));
    }

    /** Takes newly read settings into use; a part that cannot use them does not keep them from the others. */
    public void reread(Settings fresh) {
        assert clock.inEventLoop() : "settings are taken over beside the event loop";
        rules = fresh;
        metrics.count("settings.reread");
        for (Plugin department : open) {
            try {
                department.reread(fresh);
            } catch (RuntimeException e) {
                LOG.error("The part {} cannot use the settings that were read again.", department.name(), e);
            }
        }
    }
}
