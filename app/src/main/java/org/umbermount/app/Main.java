package org.umbermount.app;

import org.umbermount.kernel.Role;

/**
 * Where the process begins. The two daemons start from here without touching the command line's library, since the
 * time of a start is time out of service.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("proxy")) {
            Daemon.run(Role.PROXY);
        } else if (args.length == 1 && args[0].equals("controller")) {
            Daemon.run(Role.CONTROLLER);
        } else {
            Umbermount.main(args);
        }
    }
}
