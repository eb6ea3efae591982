package org.umbermount.distribution;

import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertThrows;

/** What {@link StateSynchronizationTest} checks of a proxy's own guard fails without it; before its senders confirm an edition, it stands alone. */
class FencingMutationsTest {
    @Test
    void anEarlierSenderIsFenced() {
        assertThrows(
                AssertionError.class,
                () -> Mutation.without(Safeguard.FENCED_BY_EPOCH, () -> {
                    new StateSynchronizationTest().newSenderResyncsAndTheOldOneIsFenced();
                    return null;
                }));
    }

    @Test
    void aLowerRevisionIsNotTaken() {
        assertThrows(
                AssertionError.class,
                () -> Mutation.without(Safeguard.NO_WAY_BACK, () -> {
                    new StateSynchronizationTest().lowerRevisionIsNotTakenWithinALife();
                    return null;
                }));
    }
}
