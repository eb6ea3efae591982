package org.umbermount.control;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertThrows;

/** What {@link ChainTest} checks of the agreement on views fails without the mechanism that it is for. */
class AgreementMutationsTest {
    private static void failsWithout(Safeguard safeguard, Executable check) {
        assertThrows(
                AssertionError.class,
                () -> Mutation.without(safeguard, () -> {
                    try {
                        check.execute();
                    } catch (Exception | Error e) {
                        throw e;
                    } catch (Throwable t) {
                        throw new IllegalStateException(t);
                    }
                    return null;
                }));
    }

    @Test
    void aViewStartsFromTheNewestPromisedState() {
        failsWithout(
                Safeguard.NEWEST_PROMISED_STATE,
                new ChainTest()::newViewStartsFromTheNewestStateAndKeepsWhatWasAccepted);
    }

    @Test
    void aPromiseFreezes() {
        failsWithout(Safeguard.PROMISE_FREEZES, new ChainTest()::promisedMemberTakesNoPartInTheOlderView);
    }

    @Test
    void whoHasLostItsMemoryMeetsEveryMajority() {
        failsWithout(Safeguard.RECOVERY_MEETS_MAJORITIES, new ChainTest()::wipedMemberAloneCannotMakeAMajority);
    }
}
