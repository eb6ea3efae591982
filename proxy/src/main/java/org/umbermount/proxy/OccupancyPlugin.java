package org.umbermount.proxy;

import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;

/** The sums of what proxies have at servers, as a plug-in of the controller. */
public final class OccupancyPlugin implements Plugin {
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
    public void open(PluginHost host) {
        new OccupancyBoard(host.clock(), host.find(Messenger.class), host.metrics());
    }
}
