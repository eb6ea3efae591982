package org.umbermount.control;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** No earlier life of a controller passes for a later one, whatever the time of day does, and no later one is refused. */
class EarlierLivesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long FAR = 1L << 40;

    /** Keeps the newest message of a kind between two controllers. */
    private static final class Recorder {
        private byte[] body;

        Recorder(Fleet fleet, int from, int to, Messenger.Topic topic) {
            fleet.network.tap = (sender, receiver, about, content) -> {
                if (sender.equals(Fleet.daemonAddress(from))
                        && receiver.equals(Fleet.daemonAddress(to))
                        && about == topic) {
                    body = content;
                }
                return true;
            };
        }
    }

    private static Fleet settled() throws IOException {
        Fleet fleet = new Fleet(4, 3, 21);
        fleet.run(6_000);
        return fleet;
    }

    private static void restart(Fleet fleet, int i) throws IOException {
        fleet.kill(i, true);
        fleet.almanac.stepWallClock(-HOUR_MS);
        fleet.start(i, false);
    }

    private static FailureDetector.Peer peer(Fleet fleet, int at, int other) {
        return fleet.running.get(at).detector.peer(Fleet.daemonAddress(other));
    }

    /** Whether a roll call of a life that has ended is taken for one of the life that runs. */
    private static boolean lateRollCallIsTaken() throws IOException {
        Fleet fleet = settled();
        Recorder last = new Recorder(fleet, 1, 0, Messenger.Topic.ROLL_CALL);
        fleet.run(400);
        byte[] late = last.body;
        restart(fleet, 1);
        fleet.run(1_000);
        long runs = peer(fleet, 0, 1).report().life();
        fleet.network.deliverLate(Fleet.daemonAddress(1), Fleet.daemonAddress(0), Messenger.Topic.ROLL_CALL, late);
        fleet.run(1);
        return peer(fleet, 0, 1).report().life() != runs;
    }

    @Test
    void aRollCallOfALifeThatHasEndedIsNotTaken() throws Exception {
        assertFalse(lateRollCallIsTaken());
        assertTrue(Mutation.without(Safeguard.LATER_LIFE_ANSWERS_LATER, EarlierLivesTest::lateRollCallIsTaken));
    }

    /** Whether an answer to an earlier life of a controller dates its contact, where no answer to the present one has come. */
    private static boolean answerToAnEarlierLifeCounts() throws IOException {
        Fleet fleet = settled();
        Recorder last = new Recorder(fleet, 1, 0, Messenger.Topic.ROLL_CALL);
        fleet.run(400);
        byte[] late = last.body;
        fleet.network.cutBoth(Fleet.daemonAddress(0), Fleet.daemonAddress(1));
        restart(fleet, 0);
        fleet.run(8_000);
        fleet.network.deliverLate(Fleet.daemonAddress(1), Fleet.daemonAddress(0), Messenger.Topic.ROLL_CALL, late);
        fleet.run(1);
        return fleet.running.get(0).detector.connected(Fleet.daemonAddress(1));
    }

    @Test
    void anAnswerToAnEarlierLifeIsNobodys() throws Exception {
        assertFalse(answerToAnEarlierLifeCounts());
        assertTrue(Mutation.without(Safeguard.ROLL_CALL_NAMES_LIFE, EarlierLivesTest::answerToAnEarlierLifeCounts));
    }

    /** A controller that starts again is connected as soon as word has gone there and back, and that again. */
    @Test
    void aLaterLifeIsHeardWithinTwoRoundTrips() throws IOException {
        Fleet fleet = settled();
        fleet.network.delayMs = 20;
        restart(fleet, 1);
        fleet.run(81);
        assertTrue(fleet.running.get(0).detector.connected(Fleet.daemonAddress(1)));
        assertTrue(fleet.running.get(1).detector.connected(Fleet.daemonAddress(0)));
    }

    /** Whether a voter is counted again after a message has come that names a higher incarnation of it, of a life long over. */
    private static boolean recoversFromAHigherIncarnation() throws IOException {
        Fleet fleet = settled();
        Recorder question = new Recorder(fleet, 3, 0, Messenger.Topic.VIEW);
        fleet.kill(3, true);
        fleet.wipe(3);
        fleet.start(3, false);
        fleet.run(10);
        byte[] recover = question.body;
        fleet.run(8_000);
        long runs = fleet.replica(3).incarnation();
        assertEquals(
                runs, fleet.replica(0).view().fellow(Fleet.daemonAddress(3)).incarnation());
        byte[] late = MessagePackCodec.write().num(kind(recover)).num(runs + 5).done();
        for (int i = 0; i < 3; i++) {
            fleet.network.deliverLate(Fleet.daemonAddress(3), Fleet.daemonAddress(i), Messenger.Topic.VIEW, late);
        }
        fleet.run(8_000);
        long now = fleet.replica(3).incarnation();
        return now > runs + 5
                && fleet.replica(3).standing() == Replica.Standing.MEMBER
                && fleet.replica(0).view().fellow(Fleet.daemonAddress(3)).incarnation() == now
                && fleet.replica(0).view().chains(Fleet.daemonAddress(3));
    }

    private static long kind(byte[] message) {
        try {
            return MessagePackCodec.read(message).num();
        } catch (MessagePackCodec.UnreadableException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aVoterRisesAboveAHigherIncarnationThatHasEnded() throws Exception {
        assertTrue(recoversFromAHigherIncarnation());
        assertFalse(Mutation.without(Safeguard.INCARNATION_RAISED, EarlierLivesTest::recoversFromAHigherIncarnation));
    }

    /** Wiped twice, with the time of day far back the second time: the second memory is another incarnation, and counted. */
    @Test
    void aSecondWipeIsAnotherIncarnationWhateverTheTimeOfDay() throws IOException {
        Fleet fleet = settled();
        long before = 0;
        for (int k = 0; k < 4; k++) {
            fleet.kill(3, true);
            fleet.wipe(3);
            fleet.almanac.stepWallClock(k % 2 == 0 ? -HOUR_MS : HOUR_MS);
            fleet.start(3, false);
            fleet.run(8_000);
            long now = fleet.replica(3).incarnation();
            assertTrue(now > before, "incarnation " + now + " after " + before);
            assertEquals(Replica.Standing.MEMBER, fleet.replica(3).standing());
            assertEquals(
                    now, fleet.replica(0).view().fellow(Fleet.daemonAddress(3)).incarnation());
            before = now;
        }
    }

    private static long epoch(Fleet fleet, String duty) {
        for (int i = 0; i < 4; i++) {
            if (fleet.isRunning(i) && fleet.epoch(i, duty) > 0) {
                return fleet.epoch(i, duty);
            }
        }
        return 0;
    }

    /** Whether the duties of all zones have higher epochs after all controllers have ended and started. */
    private static boolean epochsRise() throws IOException {
        Fleet fleet = settled();
        for (int k = 0; k < 3; k++) {
            fleet.kill(1, false);
            fleet.run(4_000);
            fleet.start(1, false);
            fleet.run(6_000);
        }
        long[] before = new long[4];
        for (int z = 0; z < 4; z++) {
            before[z] = epoch(fleet, Fleet.zone(z));
            assertTrue(before[z] > 0);
        }
        for (int i = 0; i < 4; i++) {
            fleet.kill(i, true);
        }
        fleet.almanac.stepWallClock(-HOUR_MS);
        for (int i = 0; i < 4; i++) {
            fleet.start(i, false);
        }
        fleet.run(5_000);
        boolean rise = true;
        for (int z = 0; z < 4; z++) {
            rise &= epoch(fleet, Fleet.zone(z)) > before[z];
        }
        return rise;
    }

    @Test
    void epochsRiseThoughNobodyRemembersWhatWasGranted() throws Exception {
        assertTrue(epochsRise());
        assertFalse(Mutation.without(Safeguard.EPOCHS_RISE_OVER_RESTARTS, EarlierLivesTest::epochsRise));
    }

    /** Whether a voter without its memory grants a lease in the view that it has forgotten. */
    private static boolean grantsInTheViewOfItsLoss() throws IOException {
        Fleet fleet = settled();
        fleet.kill(3, true);
        fleet.wipe(3);
        fleet.start(3, false);
        boolean[] granted = new boolean[1];
        fleet.network.tap = (from, to, topic, body) -> {
            boolean proposes = topic == Messenger.Topic.VIEW && kind(body) == 0;
            granted[0] |= topic == Messenger.Topic.LEASE
                    && from.equals(Fleet.daemonAddress(3))
                    && to.equals(Fleet.daemonAddress(2))
                    && kind(body) == 1;
            return !proposes;
        };
        for (int t = 1; t <= 400; t++) {
            long view = fleet.replica(2).view().number();
            fleet.network.deliverLate(
                    Fleet.daemonAddress(2),
                    Fleet.daemonAddress(3),
                    Messenger.Topic.LEASE,
                    MessagePackCodec.write()
                            .num(0)
                            .text("duty")
                            .num(LeaseEpochs.of(view, t))
                            .num(fleet.almanac.now().millis())
                            .num(view)
                            .done());
            fleet.run(10);
        }
        assertEquals(Replica.Standing.MEMBER, fleet.replica(3).standing());
        return granted[0];
    }

    @Test
    void whoHasLostItsMemoryGrantsNothingBeforeAViewCountsIt() throws Exception {
        assertFalse(grantsInTheViewOfItsLoss());
        assertTrue(Mutation.without(Safeguard.GRANTS_WITH_MEMORY_OF_VIEW, EarlierLivesTest::grantsInTheViewOfItsLoss));
    }

    /** A proxy has met an epoch far above: the holder takes the next above it at once. */
    @Test
    void aHolderRisesAboveAnEpochThatAProxyHasMet() throws IOException {
        Fleet fleet = settled();
        long met = fleet.epoch(1, "z1") + FAR;
        fleet.leases(1).noteEpoch("z1", met);
        fleet.run(20);
        assertTrue(fleet.epoch(1, "z1") > met);
    }

    /** Whether servers are recalled that were noted before the machines started again. */
    private static boolean oldNotesAreRecalled(boolean reboot) throws IOException {
        Fleet fleet = settled();
        fleet.running
                .get(0)
                .serverRegistry
                .beat(
                        new RegisteredServer(
                                new InstanceId("s"),
                                "u",
                                "10.8.0.1:80",
                                "z0",
                                "",
                                0,
                                0,
                                RegisteredServer.Standing.IN_SERVICE,
                                1,
                                DaemonAddress.parse("10.1.0.1:7000")),
                        () -> {});
        fleet.run(2_000);
        long uptime = fleet.almanac.now().millis();
        for (int i = 0; i < 4; i++) {
            fleet.kill(i, true);
            if (reboot) {
                fleet.reboot(i);
            }
        }
        fleet.run(reboot ? uptime : 31_000);
        fleet.almanac.stepWallClock(-31_000);
        for (int i = 0; i < 4; i++) {
            fleet.start(i, false);
        }
        return !fleet.running.get(2).serverRegistry.entries().isEmpty();
    }

    @Test
    void notesAreNotRecalledWhenTheyAreOldOrTheirAgeIsUnknown() throws Exception {
        assertFalse(oldNotesAreRecalled(false));
        assertFalse(oldNotesAreRecalled(true));
        assertTrue(Mutation.without(Safeguard.NOTES_DATED_BY_UPTIME, () -> oldNotesAreRecalled(true)));
    }
}
