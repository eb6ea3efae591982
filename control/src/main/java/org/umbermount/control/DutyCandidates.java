package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Safeguard;

/** Who comes into question for a duty, as far as this daemon hears of the others, and who of them comes first. */
final class DutyCandidates {
    /** How long another has to be well before a duty is left to it. */
    static final long STEADY_MS = 1_200;

    private final DaemonAddress self;
    private final Replica replica;
    private final FailureDetector detector;
    private final String ownZone;

    DutyCandidates(DaemonAddress self, Replica replica, FailureDetector detector, String ownZone) {
        this.self = self;
        this.replica = replica;
        this.detector = detector;
        this.ownZone = ownZone;
    }

    /** Whether this daemon leaves duties to others, since it is slow and a majority of the voters is not. */
    boolean selfStandsBack() {
        return detector.isSlow(replica.view()) && majorityIsPrompt();
    }

    /**
     * Whether a majority of the voters could hold duties and none of these is slow. If most are slow, as when little
     * processor time is left to all, moving duties about would help nobody and cost more.
     */
    private boolean majorityIsPrompt() {
        int prompt = 0;
        for (Voter voter : replica.view().electorate()) {
            prompt += isPrompt(voter.daemonAddress()) ? 1 : 0;
        }
        return prompt >= replica.view().majority() && Safeguard.SLOW_STANDS_BACK.holds();
    }

    private boolean isPrompt(DaemonAddress who) {
        if (who.equals(self)) {
            return !detector.isSlow(replica.view());
        }
        if (!detector.connected(who)) {
            return false;
        }
        FailureDetector.Report report = detector.peer(who).report();
        return report.votes() && !report.leaving() && !report.slow();
    }

    /**
     * Whether a peer could hold duties: one outside the electorate, or without its memory, is granted none,
     * one that a majority does not answer asks for none, and one that is slow leaves them to others.
     */
    private boolean mayHold(FailureDetector.Peer p) {
        boolean inContact = p.report() != null
                && (p.report().inContact()
                        || detector.goodForMs(p.daemonAddress()) < STEADY_MS
                        || !Safeguard.DUTY_LEFT_TO_ONE_IN_CONTACT.holds());
        return inContact
                && detector.connected(p.daemonAddress())
                && !p.report().leaving()
                && p.report().votes()
                && replica.view().votes(p.daemonAddress())
                && !p.report().standsBack();
    }

    /** Whether a controller of a zone comes into question that has been well for some time. */
    boolean hasLocalPeer(String zone, long steadyMs) {
        for (FailureDetector.Peer p : detector.peers()) {
            if (mayHold(p) && p.report().zone().equals(zone) && detector.goodForMs(p.daemonAddress()) >= steadyMs) {
                return true;
            }
        }
        return false;
    }

    /** Among the daemons that come into question, whether this one comes first. */
    boolean isFirst(String zone, int salt) {
        boolean local = zone.equals(ownZone);
        for (FailureDetector.Peer p : detector.peers()) {
            if (!mayHold(p) || local && !p.report().zone().equals(zone)) {
                continue;
            }
            if (order(p.daemonAddress(), salt) < order(self, salt)) {
                return false;
            }
        }
        return true;
    }

    private static long order(DaemonAddress daemonAddress, int salt) {
        return salt == 0
                ? daemonAddress.packed()
                : (daemonAddress.packed() * 0x9E3779B97F4A7C15L ^ salt) * 0xBF58476D1CE4E5B9L >>> 1;
    }
}
