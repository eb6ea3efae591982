package org.umbermount.kernel.testing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/** A network for tests: delays, loses, doubles and cuts messages by a seed. */
public final class FakeMessenger {
    private final FakeClock clock;
    private final Random random;
    private final Map<DaemonAddress, Bag> bags = new HashMap<>();
    private final Set<Long> cuts = new HashSet<>();
    private final Map<DaemonAddress, List<Runnable>> frozen = new HashMap<>();
    public double loss;
    public double doubles;
    public long delayMs = 1;
    public long jitterMs;
    public long sent;
    /** Sees each message that is sent, and says whether it goes on its way. */
    public Tap tap = (from, to, topic, body) -> true;

    /** Looks at messages. */
    public interface Tap {
        /** Whether the message may travel on; false drops it. */
        boolean passes(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body);
    }

    /** Makes a network without daemons; the seed decides about delays, losses and duplicates. */
    public FakeMessenger(FakeClock clock, long seed) {
        this.clock = clock;
        this.random = new Random(seed);
    }

    /** A daemon's bag; a second call with the same address replaces the first, as a restart does. */
    public Bag bag(DaemonAddress self) {
        Bag bag = new Bag(self);
        bags.put(self, bag);
        return bag;
    }

    /** Takes a daemon off the network: it neither sends nor receives. */
    public void down(DaemonAddress self) {
        bags.remove(self);
        frozen.remove(self);
    }

    /** A message that was sent before comes now, whoever listens at the address by this time. */
    public void deliverLate(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {
        clock.after(0, () -> {
            if (!frozen.containsKey(to)) {
                new Bag(from).deliver(to, topic, body);
            }
        });
    }

    /** Cuts one direction. */
    public void cut(DaemonAddress from, DaemonAddress to) {
        cuts.add(key(from, to));
    }

    /** Cuts the link between two daemons in both directions. */
    public void cutBoth(DaemonAddress a, DaemonAddress b) {
        cut(a, b);
        cut(b, a);
    }

    /** Restores all links. */
    public void healAll() {
        cuts.clear();
    }

    /** Messages for a frozen daemon wait for it. */
    public void freeze(DaemonAddress who) {
        frozen.putIfAbsent(who, new ArrayList<>());
    }

    /** Lets a frozen daemon run again; it receives at once what has come for it meanwhile. */
    public void thaw(DaemonAddress who) {
        List<Runnable> waiting = frozen.remove(who);
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }

    /** Joins one direction again. */
    public void join(DaemonAddress from, DaemonAddress to) {
        cuts.remove(key(from, to));
    }

    /** Whether the direction between two daemons is not cut. */
    public boolean reaches(DaemonAddress from, DaemonAddress to) {
        return !cuts.contains(key(from, to));
    }

    private static long key(DaemonAddress from, DaemonAddress to) {
        return from.packed() * 31 + to.packed();
    }

    /** The endpoint of one daemon. It no longer sends or receives once another one has taken its address. */
    public final class Bag implements Messenger {
        private final DaemonAddress self;
        private final Map<Topic, Listener> listeners = new EnumMap<>(Topic.class);

        Bag(DaemonAddress self) {
            this.self = self;
        }

        @Override
        public DaemonAddress self() {
            return self;
        }

        @Override
        public void send(DaemonAddress to, Topic topic, byte[] body) {
            sent++;
            if (bags.get(self) != this
                    || cuts.contains(key(self, to))
                    || random.nextDouble() < loss
                    || !tap.passes(self, to, topic, body)) {
                return;
            }
            int copies = random.nextDouble() < doubles ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delay = delayMs + (jitterMs > 0 ? random.nextInt((int) jitterMs) : 0);
                clock.after(delay, () -> {
                    List<Runnable> waiting = frozen.get(to);
                    if (waiting != null) {
                        waiting.add(() -> deliver(to, topic, body));
                    } else {
                        deliver(to, topic, body);
                    }
                });
            }
        }

        private void deliver(DaemonAddress to, Topic topic, byte[] body) {
            Bag target = bags.get(to);
            Listener listener = target == null ? null : target.listeners.get(topic);
            if (listener != null) {
                try {
                    listener.receive(self, body);
                } catch (MessagePackCodec.UnreadableException e) {
                    throw new AssertionError(e);
                }
            }
        }

        @Override
        public void subscribe(Topic topic, Listener listener) {
            listeners.put(topic, listener);
        }
    }
}
