package org.umbermount.archive;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Imprint;

/**
 * The view in force here and this daemon's part in it. Invariant: the view's number never falls by a decision or by news;
 * a view is on disk before it is in force, and whatever belonged to the view before is forgotten before anything
 * is done in the new one.
 */
final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger("archive");

    /** Follows the change of views. */
    interface Listener {
        /** Forgets what belonged to the view before. */
        void reset();

        /** The view is in force and everyone here has been told. */
        void inForce();
    }

    private final Imprint self;
    private final DurableState durable;
    private final CommitPoint commits;
    private final ViewMessages messages;
    private final List<Consumer<Charter>> observers = new ArrayList<>();
    private Listener listener;
    private Custodian.Standing standing;
    private Companion companion = Companion.NONE;
    private List<Imprint> audience = List.of();

    Membership(Imprint self, DurableState durable, CommitPoint commits, ViewMessages messages) {
        this.self = self;
        this.durable = durable;
        this.commits = commits;
        this.messages = messages;
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
    void establish(Charter genesis) {
        standing = Custodian.Standing.LEARNER;
        durable.persist(durable.memory().adopt(genesis, Accession.NONE.inView(genesis.number())),
                () -> adopted("the first start"));
    }

    /** A start with nothing on disk. */
    void startBlank(boolean newcomer) {
        standing = newcomer ? Custodian.Standing.LEARNER : Custodian.Standing.RECOVERING;
        durable.persist(durable.memory(), () -> { });
    }

    // ---- this daemon's part ----

    Custodian.Standing standing() {
        return standing;
    }

    Charter charter() {
        return durable.memory().charter();
    }

    boolean isHead() {
        return self.equals(charter().head());
    }

    /** Whether the chain may be acted in: this voter is in it, not frozen, and no member lost its memory since. */
    boolean inChain() {
        Memory memory = durable.memory();
        if (standing != Custodian.Standing.MEMBER || memory.frozen() || !memory.charter().chains(self)) {
            return false;
        }
        for (Imprint member : memory.charter().chain()) {
            if (memory.charter().fellow(member).incarnation() < incarnationOf(member)) {
                return false;
            }
        }
        return true;
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(Imprint who) {
        Memory memory = durable.memory();
        return who.equals(self) ? memory.incarnation() : memory.incarnationOf(who);
    }

    private Custodian.Standing standingIn(Memory m) {
        Fellow me = m.charter().fellow(self);
        if (me == null) {
            return m.charter().number() == 0 ? Custodian.Standing.RECOVERING : Custodian.Standing.LEARNER;
        }
        return me.incarnation() == m.incarnation() || m.recoveredFor() == m.charter().number()
                ? Custodian.Standing.MEMBER : Custodian.Standing.RECOVERING;
    }

    // ---- who goes along ----

    /** Sets what is kept beside the configuration. */
    void accompany(Companion other) {
        companion = other;
    }

    Companion companion() {
        return companion;
    }

    void observe(Consumer<Charter> observer) {
        observers.add(observer);
    }

    /** Sets which registrars beside the voters are told of views and commits. */
    void audience(List<Imprint> registrars) {
        audience = List.copyOf(registrars);
    }

    List<Imprint> audience() {
        return audience;
    }

    /** The audience and the voters of a view, without this daemon. */
    Set<Imprint> others(Charter charter) {
        Set<Imprint> targets = new HashSet<>(audience);
        for (Fellow f : charter.electorate()) {
            targets.add(f.imprint());
        }
        targets.remove(self);
        return targets;
    }

    // ---- the change of views ----

    /** Brings an agreed view into force here and tells everyone. */
    void decided(Proposal proposal, String why) {
        if (proposal.charter().number() <= charter().number()) {
            return;
        }
        durable.persist(durable.memory().adopt(proposal.charter(), proposal.base()), () -> {
            adopted(why);
            for (Imprint target : others(proposal.charter())) {
                sendNews(target);
            }
        });
    }

    /** Hears of another's view and state. */
    void news(Charter charter, Accession state, boolean isCommitted) {
        Memory memory = durable.memory();
        if (charter.number() < memory.charter().number() || state.view() != charter.number()) {
            return;
        }
        if (charter.number() > memory.charter().number()) {
            durable.persist(memory.adopt(charter, state), () -> adopted("news of a newer view"));
        } else if (isCommitted && state.isNewerThan(memory.state()) && !charter.chains(self)) {
            // A follower keeps what the chain has committed. Chain members change only by writes of the chain.
            durable.persist(memory.withState(state), () -> { });
        }
    }

    /** The view in the memory is new here and on disk. */
    void adopted(String why) {
        Memory memory = durable.memory();
        standing = standingIn(memory);
        listener.reset();
        LOG.info("In force after {}: {}; edition {}; {}.", why, memory.charter(), memory.state().edition(),
                standing.name().toLowerCase(Locale.ROOT));
        for (Consumer<Charter> o : observers) {
            o.accept(memory.charter());
        }
        companion.adopted(memory.charter());
        listener.inForce();
    }

    void sendNews(Imprint to) {
        if (charter().number() != 0) {
            messages.sendNews(to, durable.memory(), commits.committed());
        }
    }

    /** Asks a registrar for its view and state. */
    void fetch(Imprint from) {
        messages.sendFetch(from);
    }

    /** Takes in which incarnations another has met; {@code then} runs once they are on disk. */
    void learnIncarnations(Map<Imprint, Long> met, Runnable then) {
        Memory memory = durable.memory();
        Memory next = memory.withIncarnations(met);
        if (next.incarnations().equals(memory.incarnations())) {
            then.run();
        } else {
            durable.persist(next, then);
        }
    }
}
