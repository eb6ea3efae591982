package org.umbermount.app;

import java.util.ServiceLoader;
import org.umbermount.kernel.CommandExtension;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(
        name = "umbermount",
        mixinStandardHelpOptions = true,
        version = "umbermount 0.1.0",
        description = "An API gateway: a fleet of daemons that carry traffic and agree on their configuration.",
        subcommands = {
            ProxyCommand.class,
            ControllerCommand.class,
            CheckSettingsCommand.class,
            CheckConfigurationCommand.class,
            ShowCommand.class,
            RehearseCommand.class,
            ScaleRunCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:a file or an answer is invalid, or a rule is broken",
            "2:the arguments are wrong",
            "3:a daemon cannot be reached"
        })
public final class Umbermount implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /** The commands of this module, and those of others that are on the class path. */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Umbermount());
        ServiceLoader.load(CommandExtension.class).forEach(line::addSubcommand);
        return line.setCaseInsensitiveEnumValuesAllowed(true);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "A command is missing.");
    }
}
