package org.umbermount.control;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.InstanceId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerRegistryTest {
    private static RegisteredServer beat(
            Fleet fleet, int at, String id, RegisteredServer.Standing standing, long sequence) {
        return new RegisteredServer(
                new InstanceId(id),
                "svc",
                "10.9.0.1:80",
                "z0",
                "v1",
                3,
                0,
                standing,
                sequence,
                Fleet.daemonAddress(at));
    }

    private static boolean send(Fleet fleet, int at, String id, RegisteredServer.Standing standing, long sequence) {
        boolean[] told = new boolean[1];
        fleet.running.get(at).serverRegistry.beat(beat(fleet, at, id, standing, sequence), () -> told[0] = true);
        fleet.run(50);
        return told[0];
    }

    private static RegisteredServer.Standing standing(Fleet fleet, int at, String id) {
        for (RegisteredServer e : fleet.running.get(at).serverRegistry.entries()) {
            if (e.id().value().equals(id)) {
                return e.standing();
            }
        }
        return null;
    }

    private static Fleet settled() throws IOException {
        Fleet fleet = new Fleet(4, 3, 9);
        fleet.run(5_000);
        return fleet;
    }

    @Test
    void drainingIsKnownEverywhereBeforeItIsAcknowledgedAndNeverReverts() throws IOException {
        Fleet fleet = settled();
        assertTrue(send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1));
        assertTrue(send(fleet, 1, "a", RegisteredServer.Standing.DRAINING, 5));
        assertTrue(send(fleet, 2, "a", RegisteredServer.Standing.IN_SERVICE, 4));
        assertTrue(send(fleet, 2, "a", RegisteredServer.Standing.IN_SERVICE, 6));
        for (int i = 0; i < 4; i++) {
            assertEquals(RegisteredServer.Standing.DRAINING, standing(fleet, i, "a"));
        }
    }

    @Test
    void newsThatNobodyElseHearsIsNotAcknowledged() throws IOException {
        Fleet fleet = settled();
        for (int i = 1; i < 4; i++) {
            fleet.network.cutBoth(Fleet.daemonAddress(0), Fleet.daemonAddress(i));
        }
        assertFalse(send(fleet, 0, "a", RegisteredServer.Standing.DRAINING, 1));
    }

    @Test
    void signOffIsFinal() throws IOException {
        Fleet fleet = settled();
        send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1);
        fleet.running.get(1).serverRegistry.signOff(new InstanceId("a"), () -> {});
        fleet.run(50);
        send(fleet, 2, "a", RegisteredServer.Standing.IN_SERVICE, 9);
        assertEquals(RegisteredServer.Standing.SIGNED_OFF, standing(fleet, 3, "a"));
    }

    @Test
    void serverWithoutBeatsIsGoneAndComesBackWithABeat() throws IOException {
        Fleet fleet = settled();
        send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1);
        fleet.run(3_000);
        assertEquals(RegisteredServer.Standing.IN_SERVICE, standing(fleet, 2, "a"));
        fleet.run(4_000);
        assertEquals(RegisteredServer.Standing.MISSED, standing(fleet, 2, "a"));
        send(fleet, 3, "a", RegisteredServer.Standing.IN_SERVICE, 2);
        assertEquals(RegisteredServer.Standing.IN_SERVICE, standing(fleet, 0, "a"));
    }

    @Test
    void daemonThatIsCutOffDoesNotDeclareServersGone() throws IOException {
        Fleet fleet = settled();
        send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1);
        for (int i = 1; i < 4; i++) {
            fleet.network.cutBoth(Fleet.daemonAddress(0), Fleet.daemonAddress(i));
        }
        fleet.run(8_000);
        assertEquals(RegisteredServer.Standing.IN_SERVICE, standing(fleet, 0, "a"));
    }

    @Test
    void anotherTakesOverTheServersOfALostKeeper() throws IOException {
        Fleet fleet = settled();
        send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1);
        fleet.kill(0, true);
        fleet.run(12_000);
        for (int i = 1; i < 4; i++) {
            assertEquals(RegisteredServer.Standing.MISSED, standing(fleet, i, "a"));
        }
    }

    @Test
    void daemonThatWasAwayTakesASnapshot() throws IOException {
        Fleet fleet = settled();
        fleet.kill(3, true);
        for (int i = 0; i < 300; i++) {
            fleet.running
                    .get(0)
                    .serverRegistry
                    .beat(beat(fleet, 0, "s" + i, RegisteredServer.Standing.IN_SERVICE, 1), () -> {});
        }
        fleet.disks.get(3).raw("census", new byte[0]);
        fleet.start(3, false);
        fleet.run(1_500);
        assertEquals(300, fleet.running.get(3).serverRegistry.entries().size());
        assertTrue(fleet.running.get(3).serverRegistry.ready());
        assertEquals(
                fleet.running.get(0).serverRegistry.digest(),
                fleet.running.get(3).serverRegistry.digest());
    }

    @Test
    void wholeControlPlaneRemembersServersAfterAStop() throws IOException {
        Fleet fleet = settled();
        send(fleet, 0, "a", RegisteredServer.Standing.IN_SERVICE, 1);
        fleet.run(2_000);
        for (int i = 0; i < 4; i++) {
            fleet.kill(i, true);
        }
        for (int i = 0; i < 4; i++) {
            fleet.start(i, false);
        }
        fleet.run(10);
        assertEquals(RegisteredServer.Standing.IN_SERVICE, standing(fleet, 2, "a"));
        assertTrue(fleet.running.get(2).serverRegistry.ready());
        fleet.run(15_000);
        assertEquals(RegisteredServer.Standing.MISSED, standing(fleet, 2, "a"));
    }
}
