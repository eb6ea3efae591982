package org.umbermount.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Safeguard;

/**
 * The view in force here and this daemon's part in it. Invariant: the view's number never falls by a decision or by news;
 * a view is on disk before it is in force, and whatever belonged to the view before is forgotten before anything
 * is done in the new one.
 */
final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger("control");

    /** Follows the change of views. */
    interface Listener {
        /** Forgets what belonged to the view before. */
        void reset();

        /** The view is in force and everyone here has been told. */
        void inForce();
    }

    private final DaemonAddress self;
    private final DurableState durable;
    private final CommitPoint commits;
    private final ViewMessages messages;
    private final DroppedMessages dropped;
    private final List<Consumer<View>> observers = new ArrayList<>();
    private Listener listener;
    private Replica.Standing standing;
    private CompanionState companion = CompanionState.NONE;
    private List<DaemonAddress> audience = List.of();

    Membership(
            DaemonAddress self,
            DurableState durable,
            CommitPoint commits,
            ViewMessages messages,
            DroppedMessages dropped) {
        this.self = self;
        this.durable = durable;
        this.commits = commits;
        this.messages = messages;
        this.dropped = dropped;
    }

    void listen(Listener to) {
        listener = to;
    }

    // ---- the start ----

    /** Goes on from what the disk held. */
    void resume() {
        standing = standingIn(durable.memory());
    }

    /** The first start of the whole system, with this daemon in the first view. */
    void establish(View genesis) {
        standing = Replica.Standing.LEARNER;
        durable.persist(
                durable.memory().adopt(genesis, ConfigurationState.NONE.inView(genesis.number())),
                () -> adopted("the first start"));
    }

    /** A start with nothing on disk. */
    void startBlank(boolean newcomer) {
        standing = newcomer ? Replica.Standing.LEARNER : Replica.Standing.RECOVERING;
        durable.persist(durable.memory(), () -> {});
    }

    // ---- this daemon's part ----

    DaemonAddress self() {
        return self;
    }

    Replica.Standing standing() {
        return standing;
    }

    View view() {
        return durable.memory().view();
    }

    boolean isHead() {
        return self.equals(view().head());
    }

    /** Whether the chain may be acted in: this voter is in it, not frozen, and no member lost its memory since. */
    boolean inChain() {
        ReplicaStorage memory = durable.memory();
        boolean bound = memory.frozen() && Safeguard.PROMISE_FREEZES.holds();
        if (standing != Replica.Standing.MEMBER || bound || !memory.view().chains(self)) {
            return false;
        }
        for (DaemonAddress member : memory.view().chain()) {
            if (memory.view().fellow(member).incarnation() < incarnationOf(member)) {
                return false;
            }
        }
        return true;
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(DaemonAddress who) {
        ReplicaStorage memory = durable.memory();
        return who.equals(self) ? memory.incarnation() : memory.incarnationOf(who);
    }

    private Replica.Standing standingIn(ReplicaStorage m) {
        Voter me = m.view().fellow(self);
        if (me == null) {
            return m.view().number() == 0 ? Replica.Standing.RECOVERING : Replica.Standing.LEARNER;
        }
        return me.incarnation() == m.incarnation()
                        || m.recoveredFor() == m.view().number()
                ? Replica.Standing.MEMBER
                : Replica.Standing.RECOVERING;
    }

    // ---- who goes along ----

    /** Sets what is kept beside the configuration. */
    void accompany(CompanionState other) {
        companion = other;
    }

    CompanionState companion() {
        return companion;
    }

    void observe(Consumer<View> observer) {
        observers.add(observer);
    }

    /** Sets which controllers beside the voters are told of views and commits. */
    void audience(List<DaemonAddress> controllers) {
        audience = List.copyOf(controllers);
    }

    List<DaemonAddress> audience() {
        return audience;
    }

    /** The audience and the voters of a view, without this daemon. */
    Set<DaemonAddress> others(View view) {
        Set<DaemonAddress> targets = new HashSet<>(audience);
        for (Voter f : view.electorate()) {
            targets.add(f.daemonAddress());
        }
        targets.remove(self);
        return targets;
    }

    // ---- the change of views ----

    /** Brings an agreed view into force here and tells everyone. */
    void decided(Proposal proposal, String why) {
        if (proposal.view().number() <= view().number()) {
            return;
        }
        durable.persist(durable.memory().adopt(proposal.view(), proposal.base()), () -> {
            adopted(why);
            for (DaemonAddress target : others(proposal.view())) {
                sendNews(target);
            }
        });
    }

    /** Hears of another's view and state. */
    void news(View view, ConfigurationState state, boolean isCommitted) {
        ReplicaStorage memory = durable.memory();
        if (view.number() < memory.view().number() || state.view() != view.number()) {
            dropped.count(DroppedMessages.Reason.OLD_VIEW);
            return;
        }
        if (view.number() > memory.view().number()) {
            durable.persist(memory.adopt(view, state), () -> adopted("news of a newer view"));
        } else if (isCommitted && state.isNewerThan(memory.state()) && !view.chains(self)) {
            // A follower keeps what the chain has committed. Chain members change only by writes of the chain.
            durable.persist(memory.withState(state), () -> {});
        }
    }

    /** The incarnation in the memory is new here and on disk: this daemon votes again once it has read others. */
    void reincarnated() {
        standing = standingIn(durable.memory());
        listener.reset();
    }

    /** The view in the memory is new here and on disk. */
    void adopted(String why) {
        ReplicaStorage memory = durable.memory();
        standing = standingIn(memory);
        listener.reset();
        LOG.info(
                "In force after {}: {}; edition {}; {}.",
                why,
                memory.view(),
                memory.state().edition(),
                standing.name().toLowerCase(Locale.ROOT));
        for (Consumer<View> o : observers) {
            o.accept(memory.view());
        }
        companion.adopted(memory.view());
        listener.inForce();
    }

    void sendNews(DaemonAddress to) {
        if (view().number() != 0) {
            messages.sendNews(to, durable.memory(), commits.committed());
        }
    }

    /** Asks a controller for its view and state. */
    void fetch(DaemonAddress from) {
        messages.sendFetch(from);
    }

    /** Takes in which incarnations another has met; {@code then} runs once they are on disk. */
    void learnIncarnations(Map<DaemonAddress, Long> met, Runnable then) {
        ReplicaStorage memory = durable.memory();
        ReplicaStorage next = memory.withIncarnations(met);
        if (next.incarnations().equals(memory.incarnations())) {
            then.run();
        } else {
            durable.persist(next, then);
        }
    }
}
