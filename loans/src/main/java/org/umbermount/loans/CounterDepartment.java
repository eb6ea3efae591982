package org.umbermount.loans;

import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.courier.Consignee;
import org.umbermount.courier.Inventory;
import org.umbermount.courier.Tables;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;

/** The claiming of operations as a plug-in of the lector. */
public final class CounterDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("loans");
    private static final long LOOK_MS = 50;
    private static final long LEAVE_MS = 1_500;

    private Institution institution;
    private LoanCounter counter;

    @Override
    public String name() {
        return "loans";
    }

    @Override
    public int order() {
        return 35;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.LECTOR;
    }

    @Override
    public void open(Institution host) {
        institution = host;
        if (!host.rules().guarantees(HouseRules.KEYS)) {
            return;
        }
        Gazetteer gazetteer = host.find(Gazetteer.class);
        Postbag post = host.find(Postbag.class);
        counter = new LoanCounter(host.clock(), post, host.tally(),
                host.random(),
                () -> gazetteer.known(Role.REGISTRAR, host.rules().zone()).stream().map(Placename::imprint).toList());
        host.offer(LoanCounter.class, counter);
        host.find(Consignee.class).observe(this::learn);
    }

    private void learn(Inventory table) {
        byte[] packed = table.entries().get(Inventory.DUTY + "loans");
        if (packed != null) {
            try {
                counter.head(Tables.readHolder(packed));
            } catch (Script.UnreadableException e) {
                LOG.warn("The table does not say who keeps the operation records: {}.", e.getMessage());
            }
        }
    }

    /** Ends that were not noted yet have a moment. */
    @Override
    public void leave(Runnable done) {
        if (counter == null) {
            done.run();
        } else {
            waitForNotes(LEAVE_MS / LOOK_MS, done);
        }
    }

    private void waitForNotes(long looks, Runnable done) {
        if (counter.closing() == 0 || looks <= 0) {
            done.run();
        } else {
            institution.clock().after(LOOK_MS, () -> waitForNotes(looks - 1, done));
        }
    }
}
