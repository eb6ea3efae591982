package org.umbermount.gazetteer;

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
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;

/**
 * Who is there, by partial views that neighbours shuffle (CYCLON): each round the oldest neighbour is asked
 * and leaves the view; it answers with a sample of its own. A neighbour that does not answer is thereby
 * forgotten. Seeds are asked while the view is thin.
 */
public final class Gazetteer {
    /** How many daemons are kept. */
    public static final int VIEW = 16;
    private static final int SAMPLE = 5;
    private static final int THIN = 3;
    private static final long QUICK_MS = 400;
    private static final long ROUND_MS = 2_500;
    private static final int QUICK_ROUNDS = 6;

    private final Placename self;
    private final Clock clock;
    private final Postbag post;
    private final Tally tally;
    private final Random random;
    private final Map<Imprint, Placename> view = new LinkedHashMap<>();
    private final List<Consumer<Placename>> observers = new ArrayList<>();
    private List<Imprint> seeds;
    private List<Placename> lasting = List.of();
    private List<Imprint> sentSample = List.of();
    private int rounds;

    public Gazetteer(Placename self, List<Imprint> seeds, Clock clock, Postbag post, Tally tally, Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        this.post = post;
        this.tally = tally;
        this.random = random;
        post.subscribe(Postbag.Topic.SHUFFLE, this::receive);
    }

    public void start() {
        clock.execute(this::round);
    }

    /** Takes a changed list of seeds into use. */
    public void seeds(List<Imprint> fresh) {
        if (!fresh.equals(seeds)) {
            seeds = List.copyOf(fresh);
            rounds = 0;
        }
    }

    public List<Imprint> seeds() {
        return seeds;
    }

    public Collection<Placename> view() {
        return Collections.unmodifiableCollection(view.values());
    }

    /** Sets the registrars that a table names, which are known beside the neighbours. */
    public void lasting(Collection<Placename> named) {
        lasting = List.copyOf(named);
    }

    /** The known daemons of a role, those of the zone first, the freshest news first within that. */
    public List<Placename> known(Role role, String zoneFirst) {
        List<Placename> found = new ArrayList<>();
        for (Placename p : view.values()) {
            if (p.role() == role) {
                found.add(p);
            }
        }
        for (Placename p : lasting) {
            if (p.role() == role && !view.containsKey(p.imprint())) {
                found.add(p);
            }
        }
        found.sort(new NearestAndFreshestFirst(zoneFirst));
        return found;
    }

    /** Told of every daemon heard of, each time. */
    public void observe(Consumer<Placename> observer) {
        observers.add(observer);
    }

    /** Takes note of a daemon met outside a shuffle. */
    public void meet(Placename placename) {
        merge(List.of(placename), List.of());
    }

    private void round() {
        rounds++;
        clock.after(rounds < QUICK_ROUNDS || view.size() < THIN ? QUICK_MS : ROUND_MS + random.nextInt(500), this::round);
        view.replaceAll((k, p) -> p.older());
        Placename oldest = oldest();
        if (oldest != null) {
            view.remove(oldest.imprint());
            ask(oldest.imprint());
        }
        if (view.size() < THIN || rounds % 8 == 1) {
            askSeed();
        }
    }

    private void askSeed() {
        List<Imprint> others = new ArrayList<>(seeds);
        others.remove(self.imprint());
        if (!others.isEmpty()) {
            ask(others.get(random.nextInt(others.size())));
        }
    }

    private void ask(Imprint target) {
        List<Placename> sample = sample(target);
        sentSample = addresses(sample);
        sample.add(self.fresh());
        post.send(target, Postbag.Topic.SHUFFLE, encode(true, sample));
        tally.count("gazetteer.shuffles");
    }

    private void receive(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        boolean wantsAnswer = in.flag();
        List<Placename> theirs = in.list(Placename::read);
        if (wantsAnswer) {
            List<Placename> mine = sample(from);
            List<Imprint> given = addresses(mine);
            mine.add(self.fresh());
            post.send(from, Postbag.Topic.SHUFFLE, encode(false, mine));
            merge(theirs, given);
        } else {
            merge(theirs, sentSample);
        }
    }

    private List<Placename> sample(Imprint except) {
        List<Placename> all = new ArrayList<>(view.values());
        all.removeIf(p -> p.imprint().equals(except));
        Collections.shuffle(all, random);
        return new ArrayList<>(all.subList(0, Math.min(SAMPLE, all.size())));
    }

    private static List<Imprint> addresses(List<Placename> sample) {
        List<Imprint> addresses = new ArrayList<>(sample.size());
        for (Placename p : sample) {
            addresses.add(p.imprint());
        }
        return addresses;
    }

    private void merge(List<Placename> theirs, List<Imprint> given) {
        List<Imprint> replaceable = new ArrayList<>(given);
        for (Placename p : theirs) {
            if (p.imprint().equals(self.imprint())) {
                continue;
            }
            Placename known = view.get(p.imprint());
            if (known != null) {
                if (p.age() < known.age()) {
                    view.put(p.imprint(), p);
                }
            } else {
                while (view.size() >= VIEW && !replaceable.isEmpty()) {
                    view.remove(replaceable.remove(replaceable.size() - 1));
                }
                if (view.size() >= VIEW) {
                    evictOldest();
                }
                view.put(p.imprint(), p);
            }
            for (Consumer<Placename> observer : observers) {
                observer.accept(p);
            }
        }
    }

    /** The neighbour of whom the oldest news is kept, or null if there is none. */
    private Placename oldest() {
        Placename oldest = null;
        for (Placename p : view.values()) {
            if (oldest == null || p.age() > oldest.age()) {
                oldest = p;
            }
        }
        return oldest;
    }

    private void evictOldest() {
        Placename oldest = oldest();
        if (oldest != null) {
            view.remove(oldest.imprint());
        }
    }

    /** Orders daemons: those of a zone first, and within that the freshest news first. */
    private static final class NearestAndFreshestFirst implements Comparator<Placename> {
        private final String zone;

        NearestAndFreshestFirst(String zone) {
            this.zone = zone;
        }

        @Override
        public int compare(Placename first, Placename second) {
            boolean firstHere = first.zone().equals(zone);
            if (firstHere != second.zone().equals(zone)) {
                return firstHere ? -1 : 1;
            }
            return Integer.compare(first.age(), second.age());
        }
    }

    private static byte[] encode(boolean wantsAnswer, List<Placename> sample) {
        return Script.write().flag(wantsAnswer).list(sample, (out, p) -> p.write(out)).done();
    }
}
