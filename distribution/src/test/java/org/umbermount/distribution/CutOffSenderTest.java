package org.umbermount.distribution;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.umbermount.control.Fleet;
import org.umbermount.control.Isolation;
import org.umbermount.control.Replica;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Settings;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a controller that is cut off, or was, sends to proxies. */
class CutOffSenderTest {
    private static final int SIZE = 4;
    private static final long CUT_MS = 20_000;
    private static final long SYNC_MS = 4_000;
    private static final long REVOKE_MS = 5_000;

    /** One proxy in each zone, with controllers as they are. */
    private static final class Site {
        final Fleet fleet = new Fleet(SIZE, 3, 21, 1, null);
        final List<StateReceiver> proxies = new ArrayList<>();
        /** Epochs and editions of tables that a controller has sent, with the time. */
        final List<long[]> sent = new ArrayList<>();

        int watched = -1;

        private final boolean strict;

        Site() throws IOException {
            this(false);
        }

        Site(boolean strict) throws IOException {
            this.strict = strict;
            for (int i = 0; i < SIZE; i++) {
                PluginHost host = fleet.host(i, rules(Fleet.zone(i), Fleet.daemonAddress(i)));
                furnish(host, Fleet.daemonAddress(i), Role.CONTROLLER, Fleet.zone(i), fleet.bag(i));
                new TableSenderPlugin().open(host);
            }
            for (int i = 0; i < SIZE; i++) {
                proxies.add(proxy(i, 1, fleet.almanac));
            }
            fleet.network.tap = (from, to, topic, body) -> {
                if (topic == Messenger.Topic.DISPATCH && watched >= 0 && from.equals(Fleet.daemonAddress(watched))) {
                    note(body);
                }
                return true;
            };
            fleet.run(9_000);
            take(2, 0, 1);
            fleet.run(2_000);
            for (StateReceiver c : proxies) {
                assertEquals(1, c.inForce().edition().value());
            }
        }

        private void note(byte[] body) {
            try {
                Instruction d = Instruction.unpack(body);
                sent.add(new long[] {fleet.almanac.now().millis(), d.epoch(), d.vouched(), d.vouchAge()});
            } catch (MessagePackCodec.UnreadableException e) {
                throw new AssertionError(e);
            }
        }

        private Settings rules(String zone, DaemonAddress self) {
            Map<String, String> zones = new HashMap<>();
            List<DaemonAddress> seeds = new ArrayList<>();
            for (int z = 0; z < SIZE; z++) {
                zones.put(Fleet.zone(z), "r");
                if (z < 3) {
                    seeds.add(Fleet.daemonAddress(z).withPort(8000));
                }
            }
            return new Settings(
                    "n",
                    zone,
                    zones,
                    self.host(),
                    Map.of(),
                    7000,
                    7010,
                    seeds,
                    false,
                    "",
                    100,
                    1000,
                    1500,
                    1,
                    Set.of(),
                    new Settings.Bounds(
                            4000,
                            5000,
                            3000,
                            6000,
                            3000,
                            0.2,
                            10_000,
                            60,
                            4000,
                            new Settings.Sharing(strict, REVOKE_MS, 60_000, 5_000, 0.1, 10)));
        }

        private static PeerSampling furnish(
                PluginHost host, DaemonAddress self, Role role, String zone, Messenger bag) {
            PeerSampling g = new PeerSampling(
                    new MemberDescriptor(self, role, zone, 0),
                    List.of(Fleet.daemonAddress(0), Fleet.daemonAddress(1), Fleet.daemonAddress(2)),
                    host.clock(),
                    bag,
                    new Metrics(),
                    new Random(self.packed()));
            host.offer(Messenger.class, bag);
            host.offer(PeerSampling.class, g);
            g.start();
            return g;
        }

        static DaemonAddress daemonAddress(int zone, int k) {
            return DaemonAddress.parse("10." + (zone + 1) + ".1." + k + ":7001");
        }

        StateReceiver proxy(int zone, int k, Clock clock) {
            DaemonAddress self = daemonAddress(zone, k);
            PluginHost host = new PluginHost(Role.PROXY, rules(Fleet.zone(zone), self), clock);
            furnish(host, self, Role.PROXY, Fleet.zone(zone), fleet.network.bag(self));
            new TableReceiverPlugin().open(host);
            return host.find(StateReceiver.class);
        }

        void take(int at, long match, long edition) {
            Replica.Verdict[] verdict = new Replica.Verdict[1];
            fleet.chainClient(at)
                    .submit(
                            new ConfigurationRevision(match),
                            new ConfigurationRevision(edition),
                            ("{\"revision\":" + edition + ",\"routeTable\":[],\"upstreams\":[]}").getBytes(),
                            850,
                            v -> verdict[0] = v,
                            () -> {});
            fleet.run(900);
            assertEquals(Replica.Verdict.TAKEN, verdict[0]);
        }
    }

    /** Proxies stay where they were; each hears of a change made during the cut, and of one made after it. */
    @ParameterizedTest
    @EnumSource(
            value = Isolation.class,
            names = {"BOTH_WAYS", "OUTWARD", "INWARD", "FROM_SOME", "FROZEN"})
    void noProxyIsLeftWithoutASenderByACut(Isolation how) throws IOException {
        for (int one = 0; one < SIZE; one++) {
            Site site = new Site();
            site.watched = one;
            MonotonicTime cut = site.fleet.almanac.now();
            Runnable end = how.begin(site.fleet, SIZE, one);
            site.fleet.run(2_600);
            site.sent.clear();
            int other = (one + 2) % SIZE;
            site.take(other, 1, 5);
            site.fleet.run(1_600);
            for (StateReceiver c : site.proxies) {
                assertEquals(5, c.inForce().edition().value(), how + " of " + one);
            }
            site.fleet.run(CUT_MS - site.fleet.almanac.now().since(cut));
            assertTrue(site.sent.isEmpty(), "it sent to a proxy " + how + " of " + one);
            end.run();
            site.fleet.run(SYNC_MS);
            for (StateReceiver c : site.proxies) {
                assertEquals(5, c.inForce().edition().value());
            }
            site.take(one, 5, 6);
            for (StateReceiver c : site.proxies) {
                assertEquals(6, c.inForce().edition().value());
            }
        }
    }

    /** A proxy that reaches nobody but a controller that is cut off, or stood still, is told of no freshness after the cut. */
    @ParameterizedTest
    @EnumSource(
            value = Isolation.class,
            names = {"BOTH_WAYS", "OUTWARD", "INWARD", "FROZEN"})
    void nothingIsVouchedForBeyondTheCut(Isolation how) throws IOException {
        Site site = new Site(true);
        StateReceiver proxy = site.proxies.get(1);
        assertTrue(proxy.goodForMs() > 0, "not vouched for to begin with");
        for (int i = 0; i < SIZE; i++) {
            if (i != 1) {
                site.fleet.network.cutBoth(Site.daemonAddress(1, 1), Fleet.daemonAddress(i));
            }
        }
        MonotonicTime cut = site.fleet.almanac.now();
        Runnable end = how.begin(site.fleet, SIZE, 1);
        while (site.fleet.almanac.now().since(cut) < CUT_MS) {
            site.fleet.run(50);
            long until = site.fleet.almanac.now().since(cut) + proxy.goodForMs();
            assertTrue(until <= REVOKE_MS, "counts until " + until + " ms after the cut");
        }
        end.run();
        assertTrue(proxy.goodForMs() <= 0, "vouched for on the thaw");
        site.fleet.run(SYNC_MS);
        assertTrue(proxy.goodForMs() > 0, "not vouched for after the cut");
    }

    private interface Check {
        String run() throws Exception;
    }

    private static void rests(Safeguard on, Check check) throws Exception {
        assertNull(check.run(), "with " + on);
        assertNotNull(Mutation.without(on, check::run), "not noticed without " + on);
    }

    /** What falls due during a stop runs right after it, before anyone has seen that the lease is over. */
    @Test
    void aSenderThatStoodStillSendsNothingUnderItsOldLease() throws Exception {
        rests(Safeguard.LEASE_CHECKED_ON_SENDING, () -> {
            Site site = new Site();
            long epoch = site.fleet.leases(1).epoch(Fleet.zone(1));
            assertTrue(epoch > 0);
            site.fleet.run(700);
            site.fleet.freeze(1);
            site.fleet.run(CUT_MS);
            site.watched = 1;
            site.fleet.thaw(1);
            site.fleet.run(3_000);
            for (long[] s : site.sent) {
                if (s[1] == epoch) {
                    return "sent under epoch " + epoch + " at " + s[0];
                }
            }
            return null;
        });
    }

    /** After the cut the lease is back, but news of the newer configuration is lost for a while; a proxy starts then. */
    @Test
    void aSenderThatComesBackOffersNothingBeforeItsEditionIsConfirmed() throws Exception {
        rests(Safeguard.EDITION_CONFIRMED_BEFORE_TABLES, () -> {
            Site site = new Site();
            Runnable end = Isolation.BOTH_WAYS.begin(site.fleet, SIZE, 1);
            site.fleet.run(4_000);
            site.take(3, 1, 5);
            site.fleet.run(8_000);
            long until = site.fleet.almanac.now().millis() + 3_000;
            site.fleet.network.tap = (from, to, topic, body) -> !to.equals(Fleet.daemonAddress(1))
                    || topic != Messenger.Topic.VIEW
                    || site.fleet.almanac.now().millis() > until;
            end.run();
            site.fleet.run(300);
            StateReceiver fresh = site.proxy(1, 2, site.fleet.almanac);
            long[] first = new long[1];
            fresh.observe(t -> first[0] = first[0] == 0 ? t.edition().value() : first[0]);
            // It reaches only the controller of its own zone: the others would have given it the newer one.
            for (int i = 0; i < SIZE; i++) {
                if (i != 1) {
                    site.fleet.network.cutBoth(Site.daemonAddress(1, 2), Fleet.daemonAddress(i));
                }
            }
            site.fleet.run(8_000);
            assertEquals(5, fresh.inForce().edition().value());
            return first[0] < 5 ? "the first table had edition " + first[0] : null;
        });
    }
}
