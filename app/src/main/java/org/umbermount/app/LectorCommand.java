package org.umbermount.app;

import org.umbermount.kernel.Role;
import picocli.CommandLine.Command;

/** Starts the program that carries traffic. */
@Command(name = "lector", mixinStandardHelpOptions = true,
        description = "Carries traffic. Reads the settings file named by UMBERMOUNT_CONFIG.")
final class LectorCommand implements Runnable {
    @Override
    public void run() {
        Daemon.run(Role.LECTOR);
    }
}
