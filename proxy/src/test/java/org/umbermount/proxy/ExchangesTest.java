package org.umbermount.proxy;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** No answer to the wrong caller, and nothing unsafe run twice; {@code -Dexchanges=40000} makes the runs longer. */
class ExchangesTest {
    private static final int EXCHANGES = Integer.getInteger("exchanges", 2_000);
    private static final int MUTATED = 1_600;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void everyAnswerBelongsToItsRequestAndNothingUnsafeRunsTwice(long seed) throws Exception {
        ExchangeHunt.Report report = new ExchangeHunt(seed, EXCHANGES).run();
        System.out.println("Seed " + seed + ": " + report);
        assertEquals(List.of(), report.breaks());
        assertTrue(
                report.exchanges() >= EXCHANGES
                        && report.successes() > report.exchanges() / 3
                        && report.promises() > 10
                        && report.repeats() > 10
                        && report.unread() > 0,
                report.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "SENT_ONCE,TWICE",
        "ANSWER_MATCHED_BY_ATTEMPT,MIXED",
        "PROMISE_ONLY_IF_NOT_RUN,REFUSED",
        "REFUSAL_IN_ITS_PLACE,MIXED"
    })
    void huntFindsWhatIsLeftOut(Safeguard safeguard, String rule) throws Exception {
        ExchangeHunt.Report report = Mutation.without(safeguard, () -> new ExchangeHunt(3, MUTATED).run());
        assertTrue(report.broke(rule), report.toString());
    }
}
