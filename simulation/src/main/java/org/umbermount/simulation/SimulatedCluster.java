package org.umbermount.simulation;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.umbermount.control.Fleet;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Settings;

/**
 * Controllers and proxies as they are, from the chain to the table, on a fake clock, network and disks: operators' changes and
 * races go on while daemons are killed, frozen, cut off, robbed of their disks and replaced as a drawn day has it, and what
 * the rules say of configurations is checked after every step. Nothing here knows how the parts work.
 */
final class SimulatedCluster {
    static final int PROXIES_A_ZONE = 2;
    static final long STEP_MS = 50;
    static final long NEVER = Long.MIN_VALUE / 4;
    private static final long TURN_MS = 15_000;
    /** Set to read a day together with what the daemons log. */
    static final boolean ALOUD = Boolean.getBoolean("umbermount.aloud");

    /** A rule is broken. */
    static final class BrokenException extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final int played;

        BrokenException(String message, int played) {
            super(message);
            this.played = played;
        }

        /** How many events of the day had been played. */
        int played() {
            return played;
        }
    }

    final Fleet fleet;
    final NetworkCuts wires;
    final Daemons daemons;
    final Machines machines;
    final Proxies proxies;
    final ControlCalls calls;
    final Operators operators;
    final MalformedCalls malformedCalls;
    final Lives lives;
    private final LateMessages late;
    private final Checks checks;
    /** Null on days without servers. */
    final Servers servers;
    /** Null on days without clients. */
    final Clients clients;

    private final Day day;
    private final Random random;
    private final StringBuilder log = new StringBuilder();
    private int played;

    SimulatedCluster(Day day) throws IOException {
        this.day = day;
        long seed = day.seed();
        random = new Random(seed);
        int controllers = seed % 4 == 3 ? 6 : 4;
        int tolerated = controllers == 6 ? 2 : 1;
        if (lenient()) {
            controllers = 3 + random.nextInt(7);
            tolerated = controllers >= 5 && random.nextBoolean() ? 2 : 1;
        }
        fleet = new Fleet(controllers, 3, seed, tolerated, null, guarantees());
        fleet.network.loss = random.nextInt(3) == 0 ? 0.03 : 0.005;
        fleet.network.jitterMs = 1 + random.nextInt(6);
        fleet.network.doubles = 0.01;
        wires = new NetworkCuts(fleet.network);
        daemons = new Daemons(this, random);
        machines = new Machines(this, controllers, tolerated);
        calls = new ControlCalls(this, day.profile() == Profile.CALLS);
        operators = new Operators(this, random, calls, day.profile() == Profile.CALLS);
        malformedCalls = new MalformedCalls(this);
        servers = day.profile() == Profile.CALLS ? new Servers(this, seed) : null;
        operators.lostAnswers = lenient() ? 0.2 : 0;
        proxies = new Proxies(this);
        lives = new Lives(this);
        late = day.profile() == Profile.CLOCKS ? new LateMessages(fleet) : null;
        checks = new Checks(this);
        clients = hasClients() ? new Clients(this, seed) : null;
        for (int i = 0; i < controllers && lenient(); i++) {
            fleet.disks.get(i).chance(seed * 31 + i);
        }
        for (int i = 0; i < controllers; i++) {
            daemons.openPlugIns(i, List.of(0, 1, 2));
            for (int k = 0; k < PROXIES_A_ZONE; k++) {
                DaemonAddress proxy = DaemonAddress.parse("10." + (i + 1) + ".1." + (k + 1) + ":7001");
                wires.add(proxy);
                proxies.add(proxy, Fleet.zone(i));
            }
        }
        note(controllers + " controllers, of which " + tolerated + " may be lost at once");
    }

    /** Plays a day; what broke, or null. */
    static BrokenException breakOf(Day day) throws IOException {
        try {
            new SimulatedCluster(day).play();
            return null;
        } catch (BrokenException e) {
            return e;
        }
    }

    /** Whether an answer is due only while all machines run: some are lost for long on these days. */
    boolean lenient() {
        return day.profile() != Profile.ORDINARY;
    }

    /** Whether a change is asked for whenever calm has come. */
    boolean probes() {
        return day.profile() != Profile.ORDINARY;
    }

    /** Whether clients claim operations and ask for quota. */
    boolean hasClients() {
        return day.profile() == Profile.SHARED;
    }

    /** The parts of the rules that are in force. */
    Set<String> guarantees() {
        return hasClients() ? Set.of(Settings.KEYS, Settings.QUOTA) : Set.of();
    }

    long now() {
        return fleet.almanac.now().millis();
    }

    void note(String what) {
        log.append(now()).append(' ').append(what).append('\n');
        if (ALOUD) {
            System.out.println(now() + " " + what);
        }
    }

    /** A process has ended: what it has sent may still come. */
    void ended(DaemonAddress daemon) {
        if (late != null) {
            late.ended(daemon);
        }
    }

    /** All that has happened. */
    String trace() {
        return log.toString();
    }

    /** What clients have got; null on days without them. */
    Clients.Served served() {
        return clients == null ? null : clients.served();
    }

    void broken(String what) {
        note("BROKEN: " + what);
        for (int i : machines.core()) {
            note("  controller " + i + ": " + (fleet.isRunning(i) ? fleet.describe(i) : "does not run"));
        }
        throw new BrokenException(what + "\n" + log, played);
    }

    void later(long ms, Runnable then) {
        fleet.almanac.after(ms, then);
    }

    // ---- a day ----

    void run(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            if (clients != null) {
                clients.step();
            }
            fleet.run(STEP_MS);
            checks.check();
        }
    }

    private void runUntilOneMayBeLost(Random salt) {
        if (lenient() && salt.nextInt(4) > 0) {
            for (long t = 0; t < TURN_MS && !machines.mayLose(); t += STEP_MS) {
                run(STEP_MS);
            }
        }
    }

    private void happen(Day.Event event) {
        Random salt = new Random(event.salt());
        switch (event.kind()) {
            case LOSS, LONG_LOSS, SLOW, WIPE, REPLACE, PLANNED, AWAY -> runUntilOneMayBeLost(salt);
            default -> {}
        }
        if (late != null) {
            stepClocksAround(event);
        }
        switch (event.kind()) {
            case LOSS -> machines.trouble(salt);
            case LONG_LOSS -> machines.troubleForLong(salt);
            case SLOW -> machines.slow(salt);
            case WIPE -> machines.wipe(salt);
            case REPLACE -> machines.replace(salt);
            case PLANNED -> machines.plannedReplace(salt);
            case ALL_DOWN -> {
                if (salt.nextInt(4) == 0) {
                    machines.killAll(salt);
                } else if (salt.nextInt(3) == 0) {
                    stepClock(salt);
                }
            }
            case CLOCK -> stepClock(salt);
            case STALL -> stall(salt);
            case PROXY -> proxies.trouble(salt);
            case CHANGE -> operators.change(1);
            case RIVALS -> operators.change(2);
            case CLASH -> operators.clash(salt);
            case MANY -> operators.many(2 + salt.nextInt(7), salt);
            case LATE -> note(late.deliver(salt) + " messages of ended lives come");
            case REPEAT -> operators.repeat(1 + salt.nextInt(4), salt);
            case STORM -> operators.storm(4 + salt.nextInt(12), 60 + salt.nextInt(600));
            case BIG_STORM -> operators.storm(100 + salt.nextInt(200), 30 + salt.nextInt(50));
            case AWAY -> {
                long forMs = machines.away(salt);
                if (forMs > 0) {
                    operators.storm(500, Math.max(30, (forMs - 2_000) / 500));
                    run(forMs);
                }
            }
            case SERVER -> servers.change(salt);
            case MALFORMED -> malformedCalls.send(salt);
            case READ -> {
                operators.read();
                stall(salt);
            }
            default -> {}
        }
    }

    /** Clocks step before and after what ends processes. */
    private void stepClocksAround(Day.Event event) {
        Random salt = new Random(event.salt() + 1);
        switch (event.kind()) {
            case LOSS, WIPE, REPLACE, PLANNED, ALL_DOWN, PROXY, CLOCK -> {
                machines.stepClocks(salt);
                later(salt.nextInt(3_000), () -> machines.stepClocks(salt));
            }
            default -> {}
        }
    }

    private void stepClock(Random salt) {
        long by = (salt.nextInt(7_200) - 3_600) * 1_000L;
        note("the time of day steps by " + by);
        fleet.almanac.stepWallClock(by);
    }

    private void stall(Random salt) {
        long forMs = 50 + salt.nextInt(450);
        if (!salt.nextBoolean() || !machines.stall(salt, forMs)) {
            proxies.stall(salt, forMs);
        }
    }

    /** Plays the day and ends in calm. */
    void play() {
        run(5_000);
        if (servers != null) {
            servers.start();
        }
        operators.change(1);
        run(2_000);
        for (Day.Event event : day.events()) {
            note("-- " + event.kind());
            played++;
            happen(event);
            run(event.gapMs());
        }
        runUntilStormsEnd();
        run(8_000);
        calmDown();
        if (lenient()) {
            close();
        }
    }

    /** A change of a storm would stand in the way of the one that has to be answered at the end. */
    private void runUntilStormsEnd() {
        while (operators.storming()) {
            run(STEP_MS);
        }
    }

    /** Calm has to come, and all that was confirmed is there. */
    private void calmDown() {
        for (long t = 0; t < 2 * TURN_MS && !checks.calm() && lenient(); t += STEP_MS) {
            run(STEP_MS);
        }
        operators.change(1);
        run(Checks.CONTACT_MS + Checks.APPLY_MS + 2_000);
        if (operators.pending() || !checks.settled()) {
            broken("no calm at the end");
        }
        Clients.Served before = served();
        boolean[] read = new boolean[1];
        for (int t = 0; t < 5 && !read[0]; t++) {
            operators.read(() -> read[0] = true);
            run(1_000);
        }
        if (!read[0]) {
            broken("nothing can be read at the end");
        }
        lives.checkAtTheEnd();
        run(2_000);
        if (before != null && !clients.served().isMoreThan(before)) {
            broken("clients get nothing in calm: " + before + ", and 3 s later " + clients.served());
        }
        for (Proxies.Proxy p : proxies.all()) {
            if (servers != null) {
                servers.checkPresent(p);
            }
            if (p.edition < operators.acknowledged()) {
                broken(p.daemonAddress + " has " + p.edition + " at the end, and " + operators.acknowledged()
                        + " was confirmed");
            }
        }
    }

    /** Right after a change was confirmed more happens at once than may at other times; it is there all the same. */
    private void close() {
        Random salt = new Random(day.seed() * 7 + 1);
        int how = salt.nextInt(3);
        note("-- the closing fault, " + how);
        operators.onConfirmed(
                () -> later(salt.nextInt(3) == 0 ? salt.nextInt(30) : 0, () -> machines.closingFault(how, salt)));
        operators.change(1);
        run(12_000);
        calmDown();
    }

    /** Plays a calm day on which something goes on that the checks are not told of. */
    void playUntold(Consumer<SimulatedCluster> what) {
        run(5_000);
        operators.change(1);
        run(2_000);
        what.accept(this);
        operators.change(1);
        run(20_000);
        calmDown();
    }
}
