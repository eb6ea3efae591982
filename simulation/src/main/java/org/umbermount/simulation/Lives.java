package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.umbermount.control.Fleet;
import org.umbermount.control.Replica;

/** No earlier life of a controller passes for a later one, and no later one is refused. */
final class Lives {
    private final SimulatedCluster room;
    private final Fleet fleet;
    /** The lives of each machine in the order in which they began. */
    private final Map<Integer, List<Long>> lives = new HashMap<>();
    /** Which life of each machine each life of another has taken for the present one last. */
    private final Map<List<Long>, Integer> taken = new HashMap<>();
    /** The incarnations that a machine's disks had before they were lost. */
    private final Map<Integer, Set<Long>> lost = new HashMap<>();

    private final Map<Integer, Long> voted = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final Map<String, Integer> holder = new HashMap<>();

    Lives(SimulatedCluster room) {
        this.room = room;
        this.fleet = room.fleet;
    }

    /** A process has ended; with its disk, its incarnation must not come again. */
    void ended(int i, boolean wiped) {
        Long incarnation = voted.remove(i);
        if (wiped && incarnation != null) {
            lost.computeIfAbsent(i, k -> new HashSet<>()).add(incarnation);
        }
    }

    void check() {
        for (int i : room.machines.made()) {
            if (fleet.isRunning(i)) {
                List<Long> known = lives.computeIfAbsent(i, k -> new ArrayList<>());
                if (known.isEmpty() || known.get(known.size() - 1) != fleet.life(i)) {
                    known.add(fleet.life(i));
                }
                checkIncarnation(i);
            }
        }
        for (int at : room.machines.made()) {
            if (fleet.isRunning(at)) {
                checkLivesTaken(at);
                checkEpochs(at);
            }
        }
    }

    private void checkIncarnation(int i) {
        if (fleet.replica(i).standing() == Replica.Standing.MEMBER) {
            long now = fleet.replica(i).incarnation();
            voted.put(i, now);
            if (lost.getOrDefault(i, Set.of()).contains(now)) {
                room.broken("controller " + i + " votes as incarnation " + now + ", which an earlier memory of it was");
            }
        }
    }

    private void checkLivesTaken(int at) {
        for (Map.Entry<Integer, List<Long>> e : lives.entrySet()) {
            int index = e.getValue().indexOf(fleet.lifeKnown(at, e.getKey()));
            Integer before = index < 0 ? null : taken.put(List.of(fleet.life(at), (long) e.getKey()), index);
            if (before != null && index < before) {
                room.broken("controller " + at + " takes life " + index + " of controller " + e.getKey()
                        + " for the present one after life " + before);
            }
        }
    }

    private void checkEpochs(int at) {
        for (int place = 0; place < room.machines.size(); place++) {
            String duty = Fleet.zone(place);
            long epoch = fleet.epoch(at, duty);
            if (epoch == 0) {
                continue;
            }
            long top = highest.getOrDefault(duty, 0L);
            Integer last = holder.put(duty, at);
            if (epoch < top || epoch == top && last != null && last != at) {
                room.broken(
                        "controller " + at + " holds the duty for " + duty + " under epoch " + epoch + " after " + top);
            }
            highest.put(duty, epoch);
        }
    }

    /** When calm has come, whoever runs is known as what it is. */
    void checkAtTheEnd() {
        for (int at : room.machines.core()) {
            for (int other : room.machines.core()) {
                if (at != other && fleet.lifeKnown(at, other) != fleet.life(other)) {
                    room.broken("controller " + at + " does not know the present life of controller " + other);
                }
                if (fleet.incarnationKnown(at, other) > fleet.replica(other).incarnation()) {
                    room.broken("controller " + at + " refuses controller " + other + " for a higher incarnation");
                }
            }
        }
    }
}
