package org.umbermount.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Role;

/**
 * Who is there, by partial views that neighbours shuffle (CYCLON): each round the oldest neighbour is asked
 * and leaves the view; it answers with a sample of its own. A neighbour that does not answer is thereby
 * forgotten. Seeds are asked while the view is thin.
 */
public final class PeerSampling {
    /** How many daemons are kept. */
    public static final int VIEW = 16;

    private static final int SAMPLE = 5;
    private static final int THIN = 3;
    private static final long QUICK_MS = 400;
    private static final long ROUND_MS = 2_500;
    private static final int QUICK_ROUNDS = 6;

    private final MemberDescriptor self;
    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final Random random;
    private final Map<DaemonAddress, MemberDescriptor> view = new LinkedHashMap<>();
    private final List<Consumer<MemberDescriptor>> observers = new ArrayList<>();
    private List<DaemonAddress> seeds;
    private List<MemberDescriptor> lasting = List.of();
    private List<DaemonAddress> sentSample = List.of();
    private int rounds;

    /** Starts with an empty view; {@code random} decides which neighbours are sampled. */
    public PeerSampling(
            MemberDescriptor self,
            List<DaemonAddress> seeds,
            Clock clock,
            Messenger messenger,
            Metrics metrics,
            Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.random = random;
        messenger.subscribe(Messenger.Topic.SHUFFLE, this::receive);
    }

    /** Begins the rounds on the event loop. */
    public void start() {
        clock.execute(this::round);
    }

    /** Takes a changed list of seeds into use. */
    public void seeds(List<DaemonAddress> fresh) {
        if (!fresh.equals(seeds)) {
            seeds = List.copyOf(fresh);
            rounds = 0;
        }
    }

    /** The addresses asked while too few neighbours are known. */
    public List<DaemonAddress> seeds() {
        return seeds;
    }

    /** The neighbours of the partial view. It is live and must not be kept across events. */
    public Collection<MemberDescriptor> view() {
        return Collections.unmodifiableCollection(view.values());
    }

    /** Sets the controllers that a table names, which are known beside the neighbours. */
    public void lasting(Collection<MemberDescriptor> named) {
        lasting = List.copyOf(named);
    }

    /** The known daemons of a role, those of the zone first, the freshest news first within that. */
    public List<MemberDescriptor> known(Role role, String zoneFirst) {
        List<MemberDescriptor> found = new ArrayList<>();
        for (MemberDescriptor p : view.values()) {
            if (p.role() == role) {
                found.add(p);
            }
        }
        for (MemberDescriptor p : lasting) {
            if (p.role() == role && !view.containsKey(p.daemonAddress())) {
                found.add(p);
            }
        }
        found.sort(new NearestAndFreshestFirst(zoneFirst));
        return found;
    }

    /** Told of every daemon heard of, each time. */
    public void observe(Consumer<MemberDescriptor> observer) {
        observers.add(observer);
    }

    /** Takes note of a daemon met outside a shuffle. */
    public void meet(MemberDescriptor memberDescriptor) {
        merge(List.of(memberDescriptor), List.of());
    }

    private void round() {
        rounds++;
        clock.after(
                rounds < QUICK_ROUNDS || view.size() < THIN ? QUICK_MS : ROUND_MS + random.nextInt(500), this::round);
        view.replaceAll((k, p) -> p.older());
        MemberDescriptor oldest = oldest();
        if (oldest != null) {
            view.remove(oldest.daemonAddress());
            ask(oldest.daemonAddress());
        }
        if (view.size() < THIN || rounds % 8 == 1) {
            askSeed();
        }
    }

    private void askSeed() {
        List<DaemonAddress> others = new ArrayList<>(seeds);
        others.remove(self.daemonAddress());
        if (!others.isEmpty()) {
            ask(others.get(random.nextInt(others.size())));
        }
    }

    private void ask(DaemonAddress target) {
        List<MemberDescriptor> sample = sample(target);
        sentSample = addresses(sample);
        sample.add(self.fresh());
        messenger.send(target, Messenger.Topic.SHUFFLE, encode(true, sample));
        metrics.count("membership.shuffles");
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        boolean wantsAnswer = in.flag();
        List<MemberDescriptor> theirs = in.list(MemberDescriptor::read);
        if (wantsAnswer) {
            List<MemberDescriptor> mine = sample(from);
            List<DaemonAddress> given = addresses(mine);
            mine.add(self.fresh());
            messenger.send(from, Messenger.Topic.SHUFFLE, encode(false, mine));
            merge(theirs, given);
        } else {
            merge(theirs, sentSample);
        }
    }

    private List<MemberDescriptor> sample(DaemonAddress except) {
        List<MemberDescriptor> all = new ArrayList<>(view.values());
        all.removeIf(p -> p.daemonAddress().equals(except));
        Collections.shuffle(all, random);
        return new ArrayList<>(all.subList(0, Math.min(SAMPLE, all.size())));
    }

    private static List<DaemonAddress> addresses(List<MemberDescriptor> sample) {
        List<DaemonAddress> addresses = new ArrayList<>(sample.size());
        for (MemberDescriptor p : sample) {
            addresses.add(p.daemonAddress());
        }
        return addresses;
    }

    private void merge(List<MemberDescriptor> theirs, List<DaemonAddress> given) {
        List<DaemonAddress> replaceable = new ArrayList<>(given);
        for (MemberDescriptor p : theirs) {
            if (p.daemonAddress().equals(self.daemonAddress())) {
                continue;
            }
            MemberDescriptor known = view.get(p.daemonAddress());
            if (known != null) {
                if (p.age() < known.age()) {
                    view.put(p.daemonAddress(), p);
                }
            } else {
                while (view.size() >= VIEW && !replaceable.isEmpty()) {
                    view.remove(replaceable.remove(replaceable.size() - 1));
                }
                if (view.size() >= VIEW) {
                    evictOldest();
                }
                view.put(p.daemonAddress(), p);
            }
            for (Consumer<MemberDescriptor> observer : observers) {
                observer.accept(p);
            }
        }
    }

    /** The neighbour of whom the oldest news is kept, or null if there is none. */
    private MemberDescriptor oldest() {
        MemberDescriptor oldest = null;
        for (MemberDescriptor p : view.values()) {
            if (oldest == null || p.age() > oldest.age()) {
                oldest = p;
            }
        }
        return oldest;
    }

    private void evictOldest() {
        MemberDescriptor oldest = oldest();
        if (oldest != null) {
            view.remove(oldest.daemonAddress());
        }
    }

    /** Orders daemons: those of a zone first, and within that the freshest news first. */
    private static final class NearestAndFreshestFirst implements Comparator<MemberDescriptor> {
        private final String zone;

        NearestAndFreshestFirst(String zone) {
            this.zone = zone;
        }

        @Override
        public int compare(MemberDescriptor first, MemberDescriptor second) {
            boolean firstHere = first.zone().equals(zone);
            if (firstHere != second.zone().equals(zone)) {
                return firstHere ? -1 : 1;
            }
            return Integer.compare(first.age(), second.age());
        }
    }

    private static byte[] encode(boolean wantsAnswer, List<MemberDescriptor> sample) {
        return MessagePackCodec.write()
                .flag(wantsAnswer)
                .list(sample, (out, p) -> p.write(out))
                .done();
    }
}
