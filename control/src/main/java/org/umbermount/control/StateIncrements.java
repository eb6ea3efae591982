package org.umbermount.control;

import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * Makes increments of states, and states of increments. Invariant: an increment that was made from {@code before} and
 * {@code after} makes {@code after} of {@code before} and nothing of any other state. What was worked out last is kept, since
 * a state is written, passed on and built upon in turn.
 */
final class StateIncrements {
    private ConfigurationState before;
    private ConfigurationState after;
    private StateIncrement latest;
    private ConfigurationState fingerprinted;
    private Digest fingerprint;

    /** The increment that makes one state of another, or null if they are not one order of the same view apart. */
    StateIncrement between(ConfigurationState base, ConfigurationState next) {
        if (base != before || next != after) {
            if (!isNext(base, next)) {
                return null;
            }
            remember(
                    base,
                    next,
                    new StateIncrement(
                            next.view(),
                            fingerprintOf(base),
                            next.taken().newestTaken(),
                            ByteDelta.between(base.blob(), next.blob())));
        }
        return latest;
    }

    private static boolean isNext(ConfigurationState base, ConfigurationState next) {
        TakenOrders.Taken order = next.taken().newestTaken();
        return next.view() == base.view()
                && order != null
                && order.edition().equals(next.edition())
                && order.edition().isAfter(base.taken().newest())
                && base.taken().with(order).equals(next.taken());
    }

    /** The state that results, or null if this is not the state that the increment builds on. */
    ConfigurationState apply(StateIncrement increment, ConfigurationState base) {
        if (increment.view() != base.view()
                || !increment.order().edition().isAfter(base.taken().newest())) {
            return null;
        }
        if (!increment.base().equals(fingerprintOf(base)) && Safeguard.INCREMENT_BASE_COMPARED.holds()) {
            return null;
        }
        byte[] blob = increment.change().applyTo(base.blob());
        if (blob == null) {
            return null;
        }
        ConfigurationState next =
                base.take(increment.order().edition(), blob, increment.order().digest());
        remember(base, next, increment);
        return next;
    }

    private void remember(ConfigurationState base, ConfigurationState next, StateIncrement increment) {
        before = base;
        after = next;
        latest = increment;
    }

    /** Of everything in a state. */
    private Digest fingerprintOf(ConfigurationState state) {
        if (state != fingerprinted) {
            MessagePackCodec.Writer out = MessagePackCodec.write();
            state.write(out);
            fingerprint = Digest.of(out.done());
            fingerprinted = state;
        }
        return fingerprint;
    }
}
