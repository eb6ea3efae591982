package org.umbermount.proxy;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.reflect.Constructor;
import java.lang.reflect.Modifier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SendingsTest {
    private static final MonotonicTime NOW = new MonotonicTime(10_000);
    private static final int SERVERS = 3;
    private final RetryBudget budget = new RetryBudget(0.2, 100, 1_000, new MonotonicTime(0));

    private static HttpResponse answer(int status, boolean notExecuted) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        if (notExecuted) {
            head.headers().set(HeaderNames.NOT_EXECUTED, "1");
        }
        return head;
    }

    private Sendings.Permit further(Sendings sendings, Sendings.NotRun proof) {
        return sendings.further(proof, budget, NOW, 1, 0);
    }

    @Test
    void permitIsGoodForOneSending() {
        Sendings unsafe = new Sendings(false, SERVERS);
        Sendings.Permit permit = unsafe.first();
        assertThrows(IllegalStateException.class, unsafe::first);
        assertTrue(unsafe.hasNotRun());
        assertTrue(permit.use());
        assertFalse(permit.use());
        assertFalse(unsafe.hasNotRun());
        assertThrows(IllegalStateException.class, permit::giveBack);
        assertNull(further(unsafe, null));
        permit.lost();
        assertThrows(IllegalStateException.class, permit::lost);
        assertFalse(unsafe.hasNotRun());
        assertNull(further(unsafe, null));
    }

    @Test
    void unsafeRequestLostAfterItWentOutIsSentAgainOnlyWithoutTheSafeguard() throws Exception {
        Sendings unsafe = new Sendings(false, SERVERS);
        Sendings.Permit permit = unsafe.first();
        permit.use();
        permit.lost();
        assertNull(further(unsafe, null));
        assertNotNull(Mutation.without(Safeguard.SENT_ONCE, () -> further(unsafe, null)));
    }

    @ParameterizedTest
    @CsvSource({
        "503,true,true",
        "429,true,true",
        "400,true,true",
        "421,false,true",
        "503,false,false",
        "200,true,false",
        "500,false,false",
        "408,false,false"
    })
    void onlyAnAnswerThatSaysSoProvesThatNothingRan(int status, boolean header, boolean proves) {
        Sendings unsafe = new Sendings(false, SERVERS);
        Sendings.Permit permit = unsafe.first();
        permit.use();
        Sendings.NotRun proof = permit.answered(answer(status, header));
        assertEquals(proves, proof != null);
        assertEquals(proves, unsafe.hasNotRun());
        Sendings.Permit again = further(unsafe, proof);
        assertEquals(proves, again != null);
        if (proves) {
            assertNull(further(unsafe, proof));
            assertThrows(IllegalStateException.class, () -> unsafe.instead(proof));
            assertTrue(again.use());
            again.lost();
            assertNull(further(unsafe, proof));
        }
    }

    @Test
    void whatWasNotSentGivesItsPlaceToOneOther() {
        Sendings unsafe = new Sendings(false, SERVERS);
        Sendings.NotRun proof = unsafe.first().giveBack();
        Sendings.Permit other = unsafe.instead(proof);
        assertThrows(IllegalStateException.class, () -> unsafe.instead(proof));
        assertTrue(other.use());
        assertEquals(1, unsafe.sent());
    }

    @Test
    void noPermitOutlivesTheAnswer() {
        Sendings safe = new Sendings(true, SERVERS);
        Sendings.Permit permit = safe.first();
        safe.end();
        assertFalse(permit.use());
        assertTrue(safe.hasNotRun());
        assertNull(further(safe, null));
    }

    @Test
    void safeRequestIsSentAgainWithinTheBudgetUnlessItsBodyIsGone() {
        Sendings safe = new Sendings(true, SERVERS);
        assertTrue(safe.first().use());
        assertNotNull(further(safe, null));
        assertNull(safe.further(null, new RetryBudget(0, 0, 1_000, NOW), NOW, 1, 0));
        safe.tooLong();
        assertNull(further(safe, null));
    }

    /** A second asking beside a retry that was still connecting once went to one server too many. */
    @Test
    void permitsThatAreNotUsedYetCountAgainstTheNumberOfServers() {
        Sendings safe = new Sendings(true, 2);
        Sendings.Permit lost = safe.first();
        assertTrue(lost.use());
        lost.lost();
        Sendings.Permit connecting = further(safe, null);
        assertNotNull(connecting);
        assertNull(further(safe, null));
        Sendings.Permit other = safe.instead(connecting.giveBack());
        assertNull(further(safe, null));
        assertTrue(other.use());
        assertEquals(2, safe.sent());
    }

    @Test
    void numberOfServersMayBeLoweredMeanwhileButNotRaised() {
        Sendings safe = new Sendings(true, 2);
        assertTrue(safe.first().use());
        safe.limitTo(1);
        assertNull(further(safe, null));
        safe.limitTo(3);
        assertNull(further(safe, null));
    }

    /** Nobody but the type itself makes permits and proofs, and only one method takes a permit and a request. */
    @Test
    void permitsAndProofsHaveNoOtherMaker() {
        for (Class<?> type : new Class<?>[] {Sendings.Permit.class, Sendings.NotRun.class}) {
            for (Constructor<?> c : type.getDeclaredConstructors()) {
                assertTrue(Modifier.isPrivate(c.getModifiers()), type.getName());
            }
        }
    }
}
