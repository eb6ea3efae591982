package org.umbermount.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.umbermount.kernel.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a settings file without starting anything. */
@Command(name = "check-settings", mixinStandardHelpOptions = true, description = "Checks a settings file.")
final class CheckSettingsCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the settings file")
    private Path file;

    @Override
    public Integer call() {
        try {
            String problem = Settings.problem(Files.readAllBytes(file));
            if (problem == null) {
                System.out.println("The settings are valid.");
                return 0;
            }
            System.err.println(problem);
        } catch (IOException e) {
            System.err.println("The settings file " + file + " cannot be opened.");
        }
        return 1;
    }
}
