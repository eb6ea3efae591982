package org.umbermount.umbermount;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(name = "umbermount", mixinStandardHelpOptions = true, version = "umbermount 0.1.0",
        description = "An API gateway: a fleet of daemons that carry traffic and agree on their configuration.",
        subcommands = {LectorCommand.class, RegistrarCommand.class, CheckSettingsCommand.class,
                CheckConfigurationCommand.class, ShowCommand.class, RehearseCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:a file or an answer is invalid", "2:the arguments are wrong",
                "3:a daemon cannot be reached"})
public final class Umbermount implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static void main(String[] args) {
        // The two daemons start without the command line's library: start-up time is time out of service.
        if (args.length == 1 && args[0].equals("lector")) {
            Daemon.run(org.umbermount.kernel.Role.LECTOR);
            return;
        }
        if (args.length == 1 && args[0].equals("registrar")) {
            Daemon.run(org.umbermount.kernel.Role.REGISTRAR);
            return;
        }
        System.exit(new CommandLine(new Umbermount()).execute(args));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "A command is missing.");
    }
}
