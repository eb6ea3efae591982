package org.umbermount.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.control.Fleet;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;

/** Keeps some of what each process has sent, and lets it come again when that process has ended. */
final class LateMessages {
    private static final int KEPT_A_LIFE = 60;
    private static final int KEPT_OF_ENDED = 1_200;
    private static final int MOST_AT_ONCE = 60;
    /** Of the messages that are sent, one in so many is kept: those of a life's last second or two, and not only the last ones. */
    private static final int ONE_IN = 3;

    private record Message(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {}

    private final Fleet fleet;
    private final Map<DaemonAddress, ArrayDeque<Message>> present = new HashMap<>();
    private final List<Message> ended = new ArrayList<>();
    private long seen;

    LateMessages(Fleet fleet) {
        this.fleet = fleet;
        fleet.network.tap = this::sent;
    }

    private boolean sent(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {
        if (seen++ % ONE_IN == 0) {
            ArrayDeque<Message> kept = present.computeIfAbsent(from, f -> new ArrayDeque<>());
            kept.add(new Message(from, to, topic, body));
            if (kept.size() > KEPT_A_LIFE) {
                kept.poll();
            }
        }
        return true;
    }

    /** A process has ended. */
    void ended(DaemonAddress daemon) {
        ArrayDeque<Message> kept = present.remove(daemon);
        if (kept != null) {
            ended.addAll(kept);
            while (ended.size() > KEPT_OF_ENDED) {
                ended.remove(0);
            }
        }
    }

    /** Delivers some messages of lives that have ended, whoever is at their address now; says how many. */
    int deliver(Random random) {
        int count = ended.isEmpty() ? 0 : 1 + random.nextInt(MOST_AT_ONCE);
        for (int k = 0; k < count; k++) {
            Message m = ended.get(random.nextInt(ended.size()));
            fleet.network.deliverLate(m.from(), m.to(), m.topic(), m.body());
        }
        return count;
    }
}
