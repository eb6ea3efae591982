package org.umbermount.distribution;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;

import static org.junit.jupiter.api.Assertions.assertTrue;

class TableReceiverPluginTest {
    /** A controller that started again took its zone's duty without knowing a proxy, for 4 s and more. */
    @Test
    void controllerOfTheZoneThatStartsAgainHearsOfTheProxyWithinASecond() throws Exception {
        FakeClock clock = new FakeClock();
        FakeMessenger network = new FakeMessenger(clock, 1);
        DaemonAddress controller = DaemonAddress.parse("10.0.0.1:7000");
        DaemonAddress proxy = DaemonAddress.parse("10.0.0.2:7001");
        Settings rules = new Settings(
                "n",
                "z",
                Map.of("z", "r"),
                proxy.host(),
                Map.of(),
                7000,
                7010,
                List.of(controller.withPort(8000)),
                false,
                "",
                100,
                1000,
                1500,
                0,
                java.util.Set.of(),
                new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000));
        PluginHost host = new PluginHost(Role.PROXY, rules, clock);
        FakeMessenger.Bag own = network.bag(proxy);
        host.offer(Messenger.class, own);
        PeerSampling peerSampling = new PeerSampling(
                new MemberDescriptor(proxy, Role.PROXY, "z", 0),
                List.of(controller),
                clock,
                own,
                new Metrics(),
                new Random(1));
        host.offer(PeerSampling.class, peerSampling);
        peerSampling.meet(new MemberDescriptor(controller, Role.CONTROLLER, "z", 0));
        TableReceiverPlugin department = new TableReceiverPlugin();
        department.open(host);
        FakeMessenger.Bag sender = network.bag(controller);
        // A sender is heard all the time, so the proxy does not think itself forgotten.
        for (int i = 0; i < 20; i++) {
            sender.send(
                    proxy,
                    Messenger.Topic.DISPATCH,
                    new Instruction(
                                    5,
                                    0,
                                    0,
                                    1 + i,
                                    0,
                                    0,
                                    0,
                                    -1,
                                    RoutingTable.of(Map.of(
                                                    RoutingTable.CONFIGURATION,
                                                    MessagePackCodec.write()
                                                            .num(1)
                                                            .done()))
                                            .since(RoutingTable.EMPTY))
                            .pack());
            clock.advance(300);
        }
        int[] heard = new int[1];
        network.bag(controller).subscribe(Messenger.Topic.SIGNPOST, (from, body) -> heard[0]++);
        clock.advance(1_000);
        assertTrue(heard[0] >= 1, "not heard of");
    }
}
