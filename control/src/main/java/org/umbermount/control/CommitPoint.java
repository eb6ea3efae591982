package org.umbermount.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.FaultException;
import org.umbermount.storage.DiskWriter;

/**
 * The newest state known here to be committed. Invariant: it only rises, and its observers hear of each edition once, in
 * rising order. It waits for no disk: what has been committed may be handed out, whatever happens to it here.
 */
final class CommitPoint {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final int SUPERSEDED = 8;

    private final DiskWriter room;
    private final List<Consumer<ConfigurationState>> observers = new ArrayList<>();
    /** States that a newer one has replaced here before word came that they were committed. */
    private final ArrayDeque<ConfigurationState> superseded = new ArrayDeque<>();

    private ConfigurationState committed = ConfigurationState.NONE;
    private ConfigurationRevision readEdition = ConfigurationRevision.NONE;
    private Configuration regulations;

    CommitPoint(DiskWriter room) {
        this.room = room;
    }

    /** Takes what the disk says was committed before the stop; that no later one is, only others can say. */
    void restore(ConfigurationState state) {
        committed = state.inView(0);
    }

    void observe(Consumer<ConfigurationState> observer) {
        observers.add(observer);
    }

    ConfigurationState committed() {
        return committed;
    }

    ConfigurationRevision edition() {
        return committed.edition();
    }

    /** The committed configuration as read, or null before the first. */
    Configuration regulations() {
        if (!committed.edition().equals(readEdition)) {
            try {
                regulations = committed.edition().equals(ConfigurationRevision.NONE)
                        ? null
                        : Configuration.readTaken(committed.blob());
            } catch (FaultException e) {
                LOG.error("Edition {} is committed but cannot be read: {}", committed.edition(), e.getMessage());
            }
            readEdition = committed.edition();
        }
        return regulations;
    }

    /** A newer state has replaced this one, which may be committed all the same. */
    void supersede(ConfigurationState before) {
        if (before.edition().isAfter(committed.edition())) {
            superseded.add(before);
            if (superseded.size() > SUPERSEDED) {
                superseded.poll();
            }
        }
    }

    /** The superseded state of an edition, or else the newest state. */
    ConfigurationState superseded(ConfigurationRevision edition, ConfigurationState newest) {
        ConfigurationState meant = newest;
        for (ConfigurationState earlier : superseded) {
            if (earlier.edition().equals(edition)) {
                meant = earlier;
            }
        }
        return meant;
    }

    /** Superseded states belong to one view. */
    void viewAdopted() {
        superseded.clear();
    }

    /** This state is committed. */
    void advance(ConfigurationState state) {
        if (state.edition().isAfter(committed.edition())) {
            superseded.removeIf(s -> !s.edition().isAfter(state.edition()));
            LOG.info("Edition {} is committed in view {}.", state.edition(), state.view());
            committed = state;
            room.write(List.of(ReplicaStorage.committedNote(state)), safe -> {});
            for (Consumer<ConfigurationState> o : observers) {
                o.accept(state);
            }
        } else if (state.edition().equals(committed.edition()) && state.view() > committed.view()) {
            committed = state;
        }
    }
}
