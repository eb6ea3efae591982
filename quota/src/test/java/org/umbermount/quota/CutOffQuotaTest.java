package org.umbermount.quota;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.umbermount.control.Fleet;
import org.umbermount.control.Isolation;
import org.umbermount.control.Replica;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeMessenger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a counter of quotas grants that is cut off, or was. */
class CutOffQuotaTest {
    private static final int SIZE = 4;
    private static final DaemonAddress PROXY = DaemonAddress.parse("10.9.9.9:7001");
    private Fleet fleet;
    private FakeMessenger.Bag proxy;
    private final Map<DaemonAddress, Integer> granted = new HashMap<>();

    private void open() throws IOException {
        fleet = new Fleet(SIZE, 3, 5, 1, null, Set.of(Settings.QUOTA));
        for (int i = 0; i < SIZE; i++) {
            new QuotaGranter(
                    fleet.clock(i),
                    fleet.bag(i),
                    fleet.replica(i),
                    fleet.leases(i),
                    fleet.contact(i),
                    Settings.Sharing.NONE,
                    new Metrics());
        }
        proxy = fleet.network.bag(PROXY);
        proxy.subscribe(Messenger.Topic.QUOTA, (from, body) -> {
            MessagePackCodec.Reader in = MessagePackCodec.read(body);
            in.flag();
            for (QuotaMessages.Grant g : QuotaMessages.Answer.read(in).grants()) {
                granted.put(from, g.count());
            }
        });
        fleet.run(10_000);
        take(0, 0, 1, 50);
        fleet.run(1_000);
    }

    private void take(int at, long match, long edition, int rate) {
        Replica.Verdict[] verdict = new Replica.Verdict[1];
        fleet.chainClient(at)
                .submit(
                        new ConfigurationRevision(match),
                        new ConfigurationRevision(edition),
                        ("{\"revision\":" + edition
                                        + ",\"routeTable\":[],\"upstreams\":[],\"tenants\":[{\"label\":\"mill\",\"apiKeys\":[\"key-of-mill-0001\"],"
                                        + "\"priority\":1,\"ratePerS\":" + rate + ",\"burst\":" + rate + "}]}")
                                .getBytes(),
                        850,
                        v -> verdict[0] = v,
                        () -> {});
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, verdict[0]);
    }

    private void ask(int at) {
        proxy.send(
                Fleet.daemonAddress(at),
                Messenger.Topic.QUOTA,
                new QuotaMessages.Ask(1, fleet.almanac.now().millis(), List.of(new QuotaMessages.Wish("mill", 3)))
                        .pack());
    }

    private int holder() {
        List<Integer> holders = new ArrayList<>();
        for (int i = 0; i < SIZE; i++) {
            if (fleet.leases(i).epoch(QuotaMessages.dutyOf("mill")) > 0) {
                holders.add(i);
            }
        }
        assertTrue(holders.size() <= 1, "two count: " + holders);
        return holders.isEmpty() ? -1 : holders.get(0);
    }

    /** Cut off or frozen: what is asked there, or waited there, is granted nothing once the lease may be another's. */
    @Test
    void aHolderThatIsCutOffOrStoodStillGrantsNothing() throws IOException {
        for (Isolation how : List.of(Isolation.BOTH_WAYS, Isolation.OUTWARD, Isolation.INWARD, Isolation.FROZEN)) {
            open();
            int one = holder();
            Runnable end = how.begin(fleet, SIZE, one);
            fleet.run(1_600);
            granted.clear();
            for (int t = 0; t < 18; t++) {
                ask(one);
                fleet.run(1_000);
            }
            if (how == Isolation.FROZEN) {
                assertTrue(granted.isEmpty());
                fleet.thaw(one);
                fleet.run(2);
            }
            assertEquals(-1, granted.get(Fleet.daemonAddress(one)), how.toString());
            assertTrue(holder() >= 0 && holder() != one, "nobody counts meanwhile");
            end.run();
        }
    }

    /**
     * News of the newer limits is lost for a while. One that has not heard of the view is granted no duty; where it is, it
     * applies no limits all the same.
     */
    @Test
    void aHolderAppliesNoLimitsThatMayBeOld() throws Exception {
        assertNull(oldLimits(false));
        assertNull(Mutation.without(Safeguard.GRANTS_OF_ONE_VIEW, () -> oldLimits(true)));
        assertNotNull(Mutation.without(
                Safeguard.GRANTS_OF_ONE_VIEW,
                () -> Mutation.without(Safeguard.QUOTA_UNDER_CONFIRMED_EDITION, () -> oldLimits(true))));
    }

    private String oldLimits(boolean held) throws IOException {
        open();
        int one = holder();
        Runnable end = Isolation.BOTH_WAYS.begin(fleet, SIZE, one);
        fleet.run(4_000);
        take((one + 1) % SIZE, 1, 5, 1);
        fleet.run(12_000);
        long until = fleet.almanac.now().millis() + 12_000;
        fleet.network.tap = (from, to, topic, body) -> !to.equals(Fleet.daemonAddress(one))
                || topic != Messenger.Topic.VIEW
                || fleet.almanac.now().millis() > until;
        // The others stop, one after the other, so that the duty comes back.
        end.run();
        fleet.run(2_500);
        String wrong = null;
        int counted = 0;
        for (int t = 0; t < 400; t++) {
            granted.clear();
            int now = holder();
            if (now >= 0 && now != one && t % 100 == 20) {
                fleet.leases(now).releaseAll();
            }
            ask(one);
            fleet.run(20);
            counted += holder() == one ? 1 : 0;
            if (granted.getOrDefault(Fleet.daemonAddress(one), -1) >= 0
                    && fleet.replica(one).committed().edition().value() < 5) {
                wrong = "granted under edition "
                        + fleet.replica(one).committed().edition();
            }
        }
        assertEquals(held, counted > 0, "whether the duty came back before the news");
        return wrong;
    }
}
