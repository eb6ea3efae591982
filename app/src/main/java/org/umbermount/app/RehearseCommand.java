package org.umbermount.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Takes one request through both programs on this machine. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Runs both programs on the loopback address and takes one request through them.")
final class RehearseCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", description = "an empty folder for the controller's files")
    private Path folder;

    @Override
    public Integer call() {
        try {
            Rehearsal.run(folder);
            System.out.println("The rehearsal went well.");
            return 0;
        } catch (Exception e) {
            System.err.println("The rehearsal failed: " + e.getMessage());
            return 1;
        }
    }
}
