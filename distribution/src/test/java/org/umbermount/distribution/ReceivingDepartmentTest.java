package org.umbermount.distribution;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.membership.Gazetteer;
import org.umbermount.membership.Placename;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakePost;

class ReceivingDepartmentTest {
    /** A controller that started again took its zone's duty without knowing a proxy, for 4 s and more. */
    @Test
    void controllerOfTheZoneThatStartsAgainHearsOfTheProxyWithinASecond() throws Exception {
        FakeClock clock = new FakeClock();
        FakePost network = new FakePost(clock, 1);
        Imprint controller = Imprint.parse("10.0.0.1:7000");
        Imprint proxy = Imprint.parse("10.0.0.2:7001");
        HouseRules rules = new HouseRules("n", "z", Map.of("z", "r"), proxy.host(), Map.of(), 7000, 7010,
                List.of(controller.withPort(8000)), false, "", 100, 1000, 1500, 0, java.util.Set.of(),
                new HouseRules.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000));
        Institution host = new Institution(Role.PROXY, rules, clock);
        FakePost.Bag own = network.bag(proxy);
        host.offer(Postbag.class, own);
        Gazetteer gazetteer = new Gazetteer(new Placename(proxy, Role.PROXY, "z", 0), List.of(controller), clock, own,
                new Tally(), new Random(1));
        host.offer(Gazetteer.class, gazetteer);
        gazetteer.meet(new Placename(controller, Role.CONTROLLER, "z", 0));
        ReceivingDepartment department = new ReceivingDepartment();
        department.open(host);
        FakePost.Bag sender = network.bag(controller);
        // A sender is heard all the time, so the proxy does not think itself forgotten.
        for (int i = 0; i < 20; i++) {
            sender.send(proxy, Postbag.Topic.DISPATCH, new Dispatch(5, 0, 0, 1 + i, 0, 0, 0, -1,
                    Inventory.of(Map.of(Inventory.CONFIGURATION, Script.write().num(1).done())).since(Inventory.EMPTY)).pack());
            clock.advance(300);
        }
        int[] heard = new int[1];
        network.bag(controller).subscribe(Postbag.Topic.SIGNPOST, (from, body) -> heard[0]++);
        clock.advance(1_000);
        assertTrue(heard[0] >= 1, "not heard of");
    }
}
