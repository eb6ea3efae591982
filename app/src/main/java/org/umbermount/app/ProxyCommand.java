package org.umbermount.app;

import org.umbermount.kernel.Role;
import picocli.CommandLine.Command;

/** Starts the program that carries traffic. */
@Command(
        name = "proxy",
        mixinStandardHelpOptions = true,
        description = "Carries traffic. Reads the settings file named by UMBERMOUNT_CONFIG.")
final class ProxyCommand implements Runnable {
    @Override
    public void run() {
        Daemon.run(Role.PROXY);
    }
}
