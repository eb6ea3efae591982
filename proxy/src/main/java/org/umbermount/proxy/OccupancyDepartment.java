package org.umbermount.proxy;

import org.umbermount.kernel.Department;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;

/** The sums of what proxies have at servers, as a plug-in of the controller. */
public final class OccupancyDepartment implements Department {
    @Override
    public String name() {
        return "occupancy";
    }

    @Override
    public int order() {
        return 45;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.CONTROLLER;
    }

    @Override
    public void open(Institution host) {
        new OccupancyBoard(host.clock(), host.find(Postbag.class), host.tally());
    }
}
