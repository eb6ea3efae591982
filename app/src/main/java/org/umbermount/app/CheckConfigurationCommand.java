package org.umbermount.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.FaultException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a configuration file without sending it anywhere. */
@Command(name = "check-configuration", mixinStandardHelpOptions = true, description = "Checks a configuration file.")
final class CheckConfigurationCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the configuration file")
    private Path file;

    @Override
    public Integer call() {
        try {
            Configuration r = Configuration.parse(Files.readAllBytes(file));
            System.out.println("Revision " + r.edition() + " is valid: "
                    + r.routes().size() + " routes, " + r.upstreams().size() + " services.");
            return 0;
        } catch (IOException e) {
            System.err.println("The file " + file + " cannot be opened.");
            return 1;
        } catch (FaultException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
