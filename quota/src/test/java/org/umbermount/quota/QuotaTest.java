package org.umbermount.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class QuotaTest {
    private static final DaemonAddress KEEPER = DaemonAddress.parse("10.0.0.1:7000");
    private static final Configuration.Tenant TENANT = new Configuration.Tenant("mill", List.of("k"), 0, 30, 30);
    private static final long WINDOW_MS = 5_000;
    private static final double OVERSHOOT = 0.1;
    private static final double BURST = 20;

    private final FakeClock clock = new FakeClock();
    private final FakeMessenger network = new FakeMessenger(clock, 3);
    private final List<QuotaClient> proxies = new ArrayList<>();
    private Bucket bucket;
    private boolean reachable = true;

    private void open(int count) {
        bucket = new Bucket(1, 8, clock.now());
        FakeMessenger.Bag bag = network.bag(KEEPER);
        bag.subscribe(Messenger.Topic.QUOTA, (from, body) -> {
            MessagePackCodec.Reader in = MessagePackCodec.read(body);
            in.flag();
            QuotaMessages.Ask ask = QuotaMessages.Ask.read(in);
            if (reachable) {
                QuotaMessages.Wish w = ask.wishes().get(0);
                int n = bucket.take(w.count(), TENANT.ratePerS(), TENANT.burst() + 4, clock.now());
                bag.send(
                        from,
                        Messenger.Topic.QUOTA,
                        new QuotaMessages.Answer(
                                        ask.life(),
                                        ask.stamp(),
                                        List.of(new QuotaMessages.Grant(
                                                w.tenant(), n, bucket.waitMs(TENANT.ratePerS()), KEEPER)))
                                .pack());
            }
        });
        for (int i = 0; i < count; i++) {
            QuotaClient c = new QuotaClient(
                    clock,
                    network.bag(DaemonAddress.parse("10.0.1." + (i + 1) + ":7001")),
                    new Metrics(),
                    (long) (OVERSHOOT * WINDOW_MS / 2),
                    List::of);
            c.keeper(QuotaMessages.dutyOf("mill"), KEEPER);
            proxies.add(c);
        }
    }

    /** Far more is asked than allowed, by many, while the keeper changes and words are lost: no window goes over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noWindowGoesOverThroughLossesAndChangesOfKeeper(long seed) {
        open(12);
        Random random = new Random(seed);
        network.loss = 0.1;
        network.jitterMs = 20;
        ArrayDeque<Long> sent = new ArrayDeque<>();
        double most = (TENANT.ratePerS() * WINDOW_MS / 1_000 + TENANT.burst()) * (1 + OVERSHOOT) + BURST;
        int[] granted = new int[1];
        long changed = 0;
        for (int t = 0; t < 30_000; t += 5) {
            if (random.nextInt(3) > 0) {
                proxies.get(random.nextInt(proxies.size())).take(TENANT, 200, word -> {
                    if (word == QuotaClient.Word.MAY) {
                        granted[0]++;
                        sent.add(clock.now().millis());
                    }
                });
            }
            if (t - changed > 2_500 && random.nextInt(100) == 0) {
                changed = t;
                bucket = new Bucket(bucket.epoch + 1, 8, clock.now());
            }
            clock.advance(5);
            while (!sent.isEmpty() && sent.peek() <= clock.now().millis() - WINDOW_MS) {
                sent.poll();
            }
            assertTrue(sent.size() <= most, sent.size() + " in a window with seed " + seed);
        }
        assertTrue(granted[0] > 500, "hardly anything was granted: " + granted[0]);
    }

    @Test
    void requestsWithinTheLimitAreNotRefused() {
        open(12);
        Random random = new Random(9);
        clock.advance(3_000);
        int[] told = new int[3];
        for (int t = 0; t < 20_000; t += 50) {
            proxies.get(random.nextInt(proxies.size())).take(TENANT, 200, word -> told[word.ordinal()]++);
            clock.advance(50);
        }
        assertEquals(0, told[QuotaClient.Word.NOBODY.ordinal()]);
        assertTrue(told[QuotaClient.Word.SPENT.ordinal()] < 4, "refused " + told[QuotaClient.Word.SPENT.ordinal()]);
    }

    @Test
    void daemonThatReachesNobodySpendsNothingBeyondWhatIsLive() {
        open(1);
        clock.advance(3_000);
        reachable = false;
        int[] told = new int[3];
        MonotonicTime start = clock.now();
        for (int i = 0; i < 40; i++) {
            proxies.get(0).take(TENANT, 200, word -> told[word.ordinal()]++);
            clock.advance(25);
        }
        clock.advance(400);
        assertEquals(0, told[QuotaClient.Word.MAY.ordinal()]);
        assertEquals(40, told[QuotaClient.Word.NOBODY.ordinal()]);
        assertTrue(clock.now().since(start) < 2_000);
    }

    /** What a daemon is told that was started anew while the answer to its earlier life was on the way. */
    private QuotaClient.Word toldAfterARestart() {
        open(1);
        clock.advance(3_000);
        network.delayMs = 30;
        proxies.get(0).take(TENANT, 200, word -> {});
        clock.advance(35);
        reachable = false;
        QuotaClient anew = new QuotaClient(
                clock,
                network.bag(DaemonAddress.parse("10.0.1.1:7001")),
                new Metrics(),
                (long) (OVERSHOOT * WINDOW_MS / 2),
                List::of);
        anew.keeper(QuotaMessages.dutyOf("mill"), KEEPER);
        QuotaClient.Word[] told = new QuotaClient.Word[1];
        anew.take(TENANT, 200, word -> told[0] = word);
        clock.advance(500);
        return told[0];
    }

    @Test
    void grantToAnEarlierLifeIsNotSpent() throws Exception {
        assertEquals(QuotaClient.Word.NOBODY, toldAfterARestart());
        assertEquals(QuotaClient.Word.MAY, Mutation.without(Safeguard.REPLY_MATCHED_BY_LIFE, () -> new QuotaTest()
                .toldAfterARestart()));
    }
}
