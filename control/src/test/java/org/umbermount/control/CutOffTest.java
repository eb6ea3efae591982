package org.umbermount.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A controller that a majority does not answer gives out nothing as current, refuses nothing and confirms nothing. */
class CutOffTest {
    private static final long CUT_MS = 20_000;
    private static final long SYNC_MS = 4_000;
    /** How long a zone may be without a sender after a sudden loss, see docs/design.md. */
    private static final long VACANT_MS = 2_600;

    private static final String INVALID_HERE =
            "{\"revision\":90,\"upsert\":{\"routeTable\":[{\"label\":\"r\",\"virtualHost\":\"h.example\",\"pathPrefix\":\"/\","
                    + "\"routeType\":\"idempotent\",\"timeoutMs\":500,\"upstream\":\"nobody\",\"maxTries\":1}]}}";

    /** A call at a controller's control address. */
    private static final class Call {
        final EmbeddedChannel channel;
        int status;
        String body;

        Call(ControlApi desk) {
            channel = new EmbeddedChannel(desk.calls());
        }

        /** The status of the answer; 0 while there is none. */
        int status() {
            FullHttpResponse r = channel.readOutbound();
            if (r != null) {
                status = r.status().code();
                body = r.content().toString(StandardCharsets.UTF_8);
                r.release();
            }
            return status;
        }
    }

    private static Call call(Fleet fleet, int at, HttpMethod method, String path, String match, String body) {
        ControlApi desk = new ControlApi(
                fleet.running.get(at),
                fleet.clock(at),
                Fleet.daemonAddress(at),
                Fleet.daemonAddress(at).withPort(8000),
                Fleet.zone(at),
                new Metrics());
        Call call = new Call(desk);
        DefaultFullHttpRequest r = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        if (match != null) {
            r.headers().set("If-Match", match);
        }
        call.channel.writeInbound(r);
        return call;
    }

    private static Call beat(Fleet fleet, int at, String id, String status, long sequence) {
        return call(
                fleet,
                at,
                HttpMethod.PUT,
                "/instances/" + id,
                null,
                "{\"upstream\":\"u\",\"address\":\"10.8.0.1:80\"," + "\"status\":\"" + status + "\",\"sequence\":"
                        + sequence + "}");
    }

    private static String whole(long edition) {
        return "{\"revision\":" + edition + ",\"routeTable\":[],\"upstreams\":[]}";
    }

    private static void take(Fleet fleet, int at, long match, long edition) {
        Fleet.Reply reply = fleet.submit(at, match, edition, whole(edition));
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, reply.verdict, "edition " + edition);
    }

    /** Edition 1 is committed, and a server is known everywhere. */
    private static Fleet calm(int size, int tolerated) throws IOException {
        Fleet fleet = new Fleet(size, 3, 11, tolerated, null);
        fleet.run(9_000);
        take(fleet, 2, 0, 1);
        Call first = beat(fleet, 1, "s", "in_service", 1);
        fleet.run(300);
        assertEquals(200, first.status());
        return fleet;
    }

    private static int head(Fleet fleet, boolean tail) {
        View view = fleet.replica(0).view();
        for (int i = 0; i < 9; i++) {
            if (Fleet.daemonAddress(i).equals(tail ? view.tail() : view.head())) {
                return i;
            }
        }
        throw new IllegalStateException();
    }

    /** Every call there is, at one that is cut off: what each came to. */
    private static List<Call> everyCall(Fleet fleet, int at, long salt) {
        List<Call> calls = new ArrayList<>();
        calls.add(call(fleet, at, HttpMethod.GET, "/config", null, ""));
        calls.add(call(fleet, at, HttpMethod.PUT, "/config", "1", whole(100 + salt)));
        calls.add(call(fleet, at, HttpMethod.PUT, "/config", "0", whole(1)));
        calls.add(call(fleet, at, HttpMethod.PUT, "/config", "0", whole(200 + salt)));
        calls.add(call(fleet, at, HttpMethod.PUT, "/config", "1", whole(3)));
        calls.add(call(fleet, at, HttpMethod.PATCH, "/config", "1", INVALID_HERE));
        calls.add(call(fleet, at, HttpMethod.PATCH, "/config", "0", "{\"revision\":" + (300 + salt) + "}"));
        calls.add(call(fleet, at, HttpMethod.POST, "/purge", null, "{\"tag\":\"t\"}"));
        calls.add(beat(fleet, at, "s", "in_service", 2 + salt));
        calls.add(beat(fleet, at, "n" + salt, "in_service", 1));
        calls.add(beat(fleet, at, "n" + salt, "draining", 2));
        calls.add(call(fleet, at, HttpMethod.DELETE, "/instances/s", null, ""));
        calls.add(call(fleet, at, HttpMethod.DELETE, "/instances/unknown", null, ""));
        return calls;
    }

    private static void noneAnswered(List<Call> calls, String when) {
        for (int i = 0; i < calls.size(); i++) {
            int status = calls.get(i).status();
            assertTrue(
                    status == 503 || status == 504,
                    "call " + i + " got " + status + " " + calls.get(i).body + " " + when);
        }
    }

    /** One that still reaches a member of the majority may hand on what that one has had confirmed, and nothing else. */
    private static void onlyConfirmedAnswers(List<Call> calls, String when) {
        int[] expected = {200, 412, 200, 412, 412, 412, 412, 200, 503, 503, 503, 503, 503};
        for (int i = 0; i < calls.size(); i++) {
            int kind = i % expected.length;
            int status = calls.get(i).status();
            assertTrue(
                    status == 503 || status == 504 || status == expected[kind],
                    "call " + kind + " got " + status + " " + calls.get(i).body + " " + when);
            if (kind == 0 && status == 200) {
                assertEquals(whole(5), calls.get(i).body);
            }
        }
    }

    /** At most one holder of each zone's duty at any time, and none of the others' zones vacant for longer than the bound. */
    private static final class Duties {
        final Fleet fleet;
        final int size;
        final long[] vacantSince;
        long longest;

        Duties(Fleet fleet, int size) {
            this.fleet = fleet;
            this.size = size;
            this.vacantSince = new long[size];
        }

        void run(long ms, Set<Integer> frozen) {
            for (long t = 0; t < ms; t += 20) {
                fleet.run(20);
                long now = fleet.almanac.now().millis();
                for (int z = 0; z < size; z++) {
                    int holders = 0;
                    for (int i = 0; i < size; i++) {
                        holders += !frozen.contains(i) && fleet.leases(i).epoch(Fleet.zone(z)) > 0 ? 1 : 0;
                    }
                    assertTrue(holders <= 1, "two senders of zone " + z);
                    if (holders == 1) {
                        vacantSince[z] = now;
                    } else if (vacantSince[z] > 0) {
                        longest = Math.max(longest, now - vacantSince[z]);
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Isolation.class)
    void whoeverIsCutOffServesNothingAndIsWholeAgainInTime(Isolation how) throws IOException {
        int size = how == Isolation.WITH_A_SEED ? 5 : 4;
        for (int one = 0; one < size; one++) {
            Fleet fleet = calm(size, size / 2 - 1);
            Duties duties = new Duties(fleet, size);
            duties.run(3_000, Set.of());
            Set<Integer> side = how.side(one);
            Runnable end = how.begin(fleet, size, one);
            MonotonicTime cut = fleet.almanac.now();
            Set<Integer> frozen = how == Isolation.FROZEN ? side : Set.of();
            duties.run(MajorityContact.LIMIT_MS + 20, frozen);
            int other = 0;
            while (side.contains(other) || how == Isolation.FROM_SOME && other == (one + 1) % size) {
                other++;
            }
            for (int i : frozen.isEmpty() ? side : Set.<Integer>of()) {
                assertOutOfContact(fleet, size, i, cut, how);
            }
            duties.run(3_000, frozen);
            Fleet.Reply taken = fleet.submit(other, 1, 5, whole(5));
            duties.run(1_000, frozen);
            assertEquals(Replica.Verdict.TAKEN, taken.verdict, how + " of " + one);
            if (frozen.isEmpty()) {
                callWhileCutOff(fleet, duties, side, how, how + " of " + one);
            }
            duties.run(CUT_MS - fleet.almanac.now().since(cut), frozen);
            end.run();
            for (int i : frozen) {
                assertThawedServesNothing(fleet, i);
            }
            duties.run(SYNC_MS, Set.of());
            assertWholeAgain(fleet, size, how + " of " + one);
            assertServesCalls(fleet, duties, side);
            assertTrue(duties.longest <= VACANT_MS, "no sender for " + duties.longest + " ms, " + how + " of " + one);
        }
    }

    private static void assertOutOfContact(Fleet fleet, int size, int i, MonotonicTime cut, Isolation how) {
        assertFalse(fleet.contact(i).holds(), how + ": " + i + " holds itself for confirmed");
        assertTrue(fleet.contact(i).confirmedAt().since(cut) <= 5, "answered after the cut");
        for (int z = 0; z < size; z++) {
            assertEquals(0, fleet.leases(i).epoch(Fleet.zone(z)), "a duty at one that is cut off");
        }
    }

    /** Makes every call of those cut off three times; where they are cut off from all others, none is answered. */
    private void callWhileCutOff(Fleet fleet, Duties duties, Set<Integer> side, Isolation how, String what) {
        List<Call> calls = new ArrayList<>();
        for (int salt = 0; salt < 3; salt++) {
            for (int i : side) {
                calls.addAll(everyCall(fleet, i, salt));
                assertFalse(fleet.contact(i).assured());
            }
            duties.run(salt == 2 ? 1_000 : 4_000, Set.of());
            if (how == Isolation.FROM_SOME) {
                onlyConfirmedAnswers(calls, "during " + what);
            } else {
                noneAnswered(calls, "during " + what);
            }
        }
    }

    /** Nothing has come from anyone that was sent since this controller stood still. */
    private static void assertThawedServesNothing(Fleet fleet, int i) {
        noneAnswered(
                List.of(
                        beat(fleet, i, "s", "in_service", 9),
                        call(fleet, i, HttpMethod.DELETE, "/instances/s", null, "")),
                "on its thaw");
        assertFalse(fleet.contact(i).holds());
        assertFalse(fleet.contact(i).assured());
    }

    private static void assertWholeAgain(Fleet fleet, int size, String what) {
        for (int i = 0; i < size; i++) {
            assertTrue(fleet.contact(i).holds(), i + " is not in touch after " + what);
            assertTrue(fleet.contact(i).assured(), i + " is not assured after " + what);
            assertEquals(5, fleet.replica(i).committed().edition().value());
            assertEquals(
                    fleet.running.get(0).serverRegistry.digest(),
                    fleet.running.get(i).serverRegistry.digest());
        }
    }

    private static void assertServesCalls(Fleet fleet, Duties duties, Set<Integer> side) {
        List<Call> calls = new ArrayList<>();
        for (int i : side) {
            calls.add(call(fleet, i, HttpMethod.GET, "/config", null, ""));
            calls.add(beat(fleet, i, "s", "in_service", 50));
            calls.add(call(fleet, i, HttpMethod.POST, "/purge", null, "{\"tag\":\"t\"}"));
        }
        duties.run(900, Set.of());
        calls.forEach(c -> assertEquals(200, c.status(), c.body));
    }

    /** Passes as it stands, and is noticed without the safeguard. */
    private interface Check {
        /** What is wrong, or null. */
        String run() throws Exception;
    }

    private static void rests(Safeguard on, Check check) throws Exception {
        assertNull(check.run(), "with " + on);
        assertNotNull(Mutation.without(on, check::run), "not noticed without " + on);
    }

    /** The head or the tail is cut off, and the others have gone on. */
    private static Fleet leftBehind(int one) throws IOException {
        Fleet fleet = calm(4, 1);
        Isolation.BOTH_WAYS.begin(fleet, 4, one);
        fleet.run(3_500);
        take(fleet, one == 3 ? 2 : 3, 1, 5);
        return fleet;
    }

    private static String oneCall(
            Safeguard safeguard, boolean tail, HttpMethod method, String path, String match, String body)
            throws IOException {
        int one = head(calm(4, 1), tail);
        Fleet fleet = leftBehind(one);
        Call call = call(fleet, one, method, path, match, body);
        fleet.run(1_000);
        return call.status() == 503 || call.status() == 504 ? null : safeguard + ": " + call.status();
    }

    @Test
    void readsRefusalsRepeatsInvalidChangesAndPurgesRestOnAConfirmation() throws Exception {
        rests(
                Safeguard.READ_CONFIRMED,
                () -> oneCall(Safeguard.READ_CONFIRMED, true, HttpMethod.GET, "/config", null, ""));
        rests(
                Safeguard.REFUSAL_CONFIRMED,
                () -> oneCall(Safeguard.REFUSAL_CONFIRMED, false, HttpMethod.PUT, "/config", "0", whole(77)));
        rests(
                Safeguard.REPEAT_CONFIRMED,
                () -> oneCall(Safeguard.REPEAT_CONFIRMED, false, HttpMethod.PUT, "/config", "0", whole(1)));
        rests(
                Safeguard.INVALIDITY_CONFIRMED,
                () -> oneCall(Safeguard.INVALIDITY_CONFIRMED, false, HttpMethod.PATCH, "/config", "1", INVALID_HERE));
        rests(
                Safeguard.PURGE_CONFIRMED,
                () -> oneCall(Safeguard.PURGE_CONFIRMED, false, HttpMethod.POST, "/purge", null, "{\"tag\":\"t\"}"));
    }

    /** In touch again, but not yet told of the newer view: those asked are not in the one that is asked about. */
    @Test
    void aVoteOfAnotherViewDoesNotCount() throws Exception {
        rests(Safeguard.VOTES_OF_THE_VIEW_ONLY, () -> {
            int tail = head(calm(4, 1), true);
            Fleet fleet = leftBehind(tail);
            fleet.network.healAll();
            ConfigurationState[] read = new ConfigurationState[1];
            fleet.chainClient(tail).read(850, a -> read[0] = a, () -> {});
            fleet.run(900);
            return read[0] != null && read[0].edition().value() < 5 ? "read " + read[0].edition() : null;
        });
    }

    @Test
    void anAnswerThatWaitedForAFrozenProcessIsNotHandedOn() throws Exception {
        rests(Safeguard.LATE_ANSWERS_DROPPED, () -> {
            Fleet fleet = calm(4, 1);
            int one = 1 + head(fleet, true) % 3;
            ConfigurationState[] read = new ConfigurationState[1];
            boolean[] gaveUp = new boolean[1];
            fleet.network.delayMs = 20;
            fleet.chainClient(one).read(850, a -> read[0] = a, () -> gaveUp[0] = true);
            fleet.run(25);
            fleet.freeze(one);
            fleet.run(5_000);
            take(fleet, one == 3 ? 2 : 3, 1, 5);
            fleet.thaw(one);
            fleet.run(1_000);
            assertTrue(read[0] != null || gaveUp[0], "one of the two is called");
            return read[0] != null && read[0].edition().value() < 5 ? "read " + read[0].edition() : null;
        });
    }

    /** A process that stood still hears nobody after its thaw; what it knew of the others is of the time before. */
    @Test
    void aBeatNeedsContact() throws Exception {
        rests(Safeguard.CONTACT_BEFORE_BEATS, () -> {
            Fleet fleet = calm(4, 1);
            fleet.freeze(2);
            Isolation.BOTH_WAYS.begin(fleet, 4, 2);
            fleet.run(CUT_MS);
            fleet.thaw(2);
            fleet.run(1);
            Call call = beat(fleet, 2, "s", "in_service", 5);
            fleet.run(1);
            return call.status() == 503 ? null : "a beat got " + call.status();
        });
    }

    /** Two of five are cut off together, and one of them was told at that moment that a server drains. */
    @Test
    void newsIsAcknowledgedOnlyOnceAMajorityHoldsIt() throws Exception {
        rests(Safeguard.NEWS_WITH_MAJORITY, () -> {
            Fleet fleet = calm(5, 2);
            Isolation.WITH_A_SEED.begin(fleet, 5, 1);
            Call call = beat(fleet, 1, "s", "draining", 5);
            fleet.run(1_000);
            return call.status() == 200 ? "yes, and only the pair knows" : null;
        });
    }

    @Test
    void newsThatWasNotAcknowledgedIsNotAcknowledgedToARepeat() throws Exception {
        rests(Safeguard.REPEATED_NEWS_WAITS, () -> {
            Fleet fleet = calm(4, 1);
            Isolation.BOTH_WAYS.begin(fleet, 4, 1);
            Call first = beat(fleet, 1, "s", "draining", 5);
            fleet.run(650);
            assertEquals(503, first.status());
            Call again = beat(fleet, 1, "s", "draining", 6);
            Call signOff = call(fleet, 1, HttpMethod.DELETE, "/instances/s", null, "");
            fleet.run(700);
            assertEquals(503, signOff.status());
            return again.status() == 200 ? "yes, and nobody else knows" : null;
        });
    }

    /** The server turns to the other one of a pair that is cut off, which has heard of it from the first. */
    @Test
    void newsFromOneThatCouldNotTellItIsNotAcknowledgedElsewhere() throws Exception {
        rests(Safeguard.REPEATED_NEWS_WAITS, () -> {
            Fleet fleet = calm(5, 2);
            Isolation.WITH_A_SEED.begin(fleet, 5, 1);
            beat(fleet, 1, "s", "draining", 5);
            fleet.run(50);
            Call again = beat(fleet, 0, "s", "draining", 6);
            fleet.run(700);
            return again.status() == 200 ? "yes, and only the pair knows" : null;
        });
    }

    /** Who has the news from elsewhere acknowledges it too only once a majority holds it. */
    @Test
    void drainingAndSignOffAreAcknowledgedWhereverTheyAreRepeated() throws IOException {
        Fleet fleet = calm(4, 1);
        Call first = beat(fleet, 1, "s", "draining", 5);
        fleet.run(300);
        Call repeat = beat(fleet, 2, "s", "draining", 6);
        Call signOff = call(fleet, 3, HttpMethod.DELETE, "/instances/s", null, "");
        fleet.run(300);
        Call signOffAgain = call(fleet, 0, HttpMethod.DELETE, "/instances/s", null, "");
        fleet.run(300);
        for (Call c : List.of(first, repeat, signOff, signOffAgain)) {
            assertEquals(200, c.status(), c.body);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(fleet.running.get(i).serverRegistry.entries().stream()
                    .filter(e -> e.id().equals(new InstanceId("s")))
                    .allMatch(e -> e.standing() == RegisteredServer.Standing.SIGNED_OFF));
        }
    }

    /** A server of another zone is sent to that zone's controller, but not while a majority does not answer that one. */
    @Test
    void aServerIsNotSentToOneThatIsCutOffAndThePageSaysWhoIs() throws IOException {
        Fleet fleet = calm(4, 1);
        String beat =
                "{\"upstream\":\"u\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\",\"status\":\"in_service\",\"sequence\":";
        Call before = call(fleet, 0, HttpMethod.PUT, "/instances/e", null, beat + "1}");
        fleet.run(300);
        assertEquals(200, before.status());
        assertEquals("{\"heartbeatUrl\":\"http://10.2.0.1:8000\"}", before.body);
        for (int i = 2; i < 4; i++) {
            fleet.network.cutBoth(Fleet.daemonAddress(1), Fleet.daemonAddress(i));
        }
        fleet.run(2_000);
        Call during = call(fleet, 0, HttpMethod.PUT, "/instances/e", null, beat + "2}");
        Call page = call(fleet, 1, HttpMethod.GET, "/status", null, "");
        Call others = call(fleet, 0, HttpMethod.GET, "/status", null, "");
        fleet.run(10);
        assertEquals(200, during.status());
        assertEquals("{}", during.body);
        assertEquals(200, page.status());
        assertTrue(page.body.contains("\"majorityAnswers\":false"), page.body);
        assertTrue(page.body.contains("\"editionConfirmed\":false"), page.body);
        assertEquals(200, others.status());
        assertTrue(others.body.contains("\"majorityAnswers\":true"), others.body);
        assertTrue(others.body.contains("\"editionConfirmed\":true"), others.body);
    }

    private static String twoHolders(Fleet fleet, int size, String zone, long ms) {
        String two = null;
        for (long t = 0; t < ms && two == null; t += 5) {
            fleet.run(5);
            two = twoHolders(fleet, size, zone);
        }
        return two;
    }

    private static String twoHolders(Fleet fleet, int size, String zone) {
        List<Integer> holders = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (fleet.isRunning(i) && fleet.leases(i).epoch(zone) > 0) {
                holders.add(i);
            }
        }
        return holders.size() > 1 ? holders + " hold " + zone : null;
    }

    /** Grants wait for a frozen holder; when it thaws another has the duty. */
    @Test
    void aLeaseIsCountedFromTheAsking() throws Exception {
        rests(Safeguard.LEASE_COUNTED_FROM_ASKING, () -> {
            Fleet fleet = calm(4, 1);
            fleet.network.delayMs = 20;
            fleet.run(1_000);
            boolean[] asked = new boolean[1];
            fleet.network.tap = (from, to, topic, body) -> {
                asked[0] |= from.equals(Fleet.daemonAddress(1))
                        && topic == Messenger.Topic.LEASE
                        && asksFor(body, Fleet.zone(1));
                return true;
            };
            while (!asked[0]) {
                fleet.run(1);
            }
            fleet.run(25);
            fleet.freeze(1);
            fleet.run(5_000);
            // What waited in the socket comes before any timer, and other questions may stand behind it.
            fleet.network.thaw(Fleet.daemonAddress(1));
            String two = twoHolders(fleet, 4, Fleet.zone(1));
            fleet.thaw(1);
            return two != null ? two : twoHolders(fleet, 4, Fleet.zone(1), 1_000);
        });
    }

    private static boolean asksFor(byte[] body, String zone) {
        try {
            MessagePackCodec.Reader in = MessagePackCodec.read(body);
            return in.num() == 0 && in.text().equals(zone);
        } catch (MessagePackCodec.UnreadableException e) {
            throw new AssertionError(e);
        }
    }

    /** The holder is cut off, and all that granted it the duty start again. Three voters, so that no seat is given up. */
    @Test
    void whoStartsAgainGrantsNothingThatMayBeHeld() throws Exception {
        rests(Safeguard.GRANTS_WAIT_AFTER_RESTART, () -> {
            Fleet fleet = calm(3, 1);
            fleet.kill(1, true);
            fleet.run(6_000);
            int holder = -1;
            for (int i = 0; i < 3; i++) {
                holder = fleet.isRunning(i) && fleet.leases(i).epoch(Fleet.zone(1)) > 0 ? i : holder;
            }
            assertTrue(holder >= 0);
            Isolation.BOTH_WAYS.begin(fleet, 3, holder);
            for (int i = 0; i < 3; i++) {
                if (i != holder) {
                    if (i != 1) {
                        fleet.kill(i, true);
                    }
                    fleet.start(i, false);
                }
            }
            return twoHolders(fleet, 3, Fleet.zone(1), 3_000);
        });
    }
}
