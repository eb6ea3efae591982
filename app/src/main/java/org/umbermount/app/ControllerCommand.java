package org.umbermount.app;

import org.umbermount.kernel.Role;
import picocli.CommandLine.Command;

/** Starts the program that keeps servers and configuration. */
@Command(
        name = "controller",
        mixinStandardHelpOptions = true,
        description = "Knows servers and daemons, holds the configuration and delivers it. "
                + "Reads the settings file named by UMBERMOUNT_CONFIG.")
final class ControllerCommand implements Runnable {
    @Override
    public void run() {
        Daemon.run(Role.CONTROLLER);
    }
}
