package org.umbermount.simulation;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What the command prints and the exit code that it ends with. */
class SimulateCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int run(String... args) {
        out.getBuffer().setLength(0);
        return new CommandLine(new SimulateCommand())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(errors))
                .execute(args);
    }

    @Test
    void daysThatHoldEndWithZeroAndTheirSeeds() {
        assertEquals(0, run("--seed", "7", "--count", "2", "--steps", "3", "--profile", "ordinary"));
        assertTrue(out.toString().startsWith("seeds 7 to 8, profile ORDINARY, 3 events each"), out.toString());
        assertTrue(out.toString().contains("2 days of profile ORDINARY from seed 7, 0 broken"), out.toString());
    }

    @Test
    void aBreakEndsWithOneAndAShrunkTraceThatCanBePlayedAgain() {
        String[] again = {"--seed", "1", "--profile", "ORDERS", "--steps", "10", "--without", "DIGEST_COMPARED"};
        assertEquals(
                1,
                run(
                        "--seed",
                        "1",
                        "--profile",
                        "orders",
                        "--steps",
                        "10",
                        "--without",
                        "digest_compared",
                        "--shrink-ms",
                        "3000"));
        String shown = out.toString();
        assertTrue(shown.contains("seed 1 profile ORDERS steps 10: two changes on version"), shown);
        assertTrue(shown.contains("again with " + String.join(" ", again)), shown);
        assertTrue(shown.contains(" BROKEN: two changes on version"), shown);
        Matcher only = Pattern.compile("--only (\\S+)").matcher(shown);
        assertTrue(only.find(), shown);
        assertEquals(
                1,
                run(
                        "--seed",
                        "1",
                        "--profile",
                        "orders",
                        "--steps",
                        "10",
                        "--without",
                        "digest_compared",
                        "--only",
                        only.group(1)));
        assertEquals(0, run("--seed", "1", "--profile", "orders", "--steps", "10", "--only", only.group(1)));
        assertTrue(out.toString().startsWith("nothing breaks"), out.toString());
    }

    @Test
    void wrongArgumentsEndWithTwo() {
        assertEquals(2, run("--profile", "none"));
        assertEquals(2, run("--count", "0"));
        assertEquals(2, run("--steps", "3", "--only", "99:1"));
        assertEquals(2, run("--steps", "3", "--only", "first"));
    }
}
