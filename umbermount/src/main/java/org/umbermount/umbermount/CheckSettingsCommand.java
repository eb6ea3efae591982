package org.umbermount.umbermount;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.umbermount.kernel.HouseRules;
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
            HouseRules rules = HouseRules.load(file);
            System.out.println("The settings of " + rules.nodeName() + " are valid.");
            return 0;
        } catch (HouseRules.InvalidException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
