package org.umbermount.app;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ProgramTest {
    private static String errors;

    private static int run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream old = System.err;
        System.setErr(new PrintStream(out, true));
        try {
            return Umbermount.commandLine().execute(args);
        } finally {
            System.setErr(old);
            errors = out.toString();
        }
    }

    @Test
    void wholePathServesARequestOnOneMachine(@TempDir Path folder) throws Exception {
        Rehearsal.run(folder);
    }

    @Test
    void exitCodesTellWhatIsWrong(@TempDir Path folder) throws Exception {
        assertEquals(2, run());
        assertEquals(2, run("show", "everything", "-a", "1.2.3.4:5"));
        assertEquals(2, run("show", "view", "-a", "nowhere"));
        assertEquals(3, run("show", "view", "-a", "127.0.0.1:1"));
        assertEquals(1, run("check-settings", folder.resolve("none").toString()));
        Path file = folder.resolve("settings");
        Files.writeString(file, "{\"nodeName\":\"n\"}");
        assertEquals(1, run("check-settings", file.toString()));
        assertTrue(errors.contains("zone") || errors.contains("listeners") || errors.contains("ipAddress"), errors);
        Files.writeString(file, "{\"revision\":1,\"routeTable\":[],\"upstreams\":[]}");
        assertEquals(0, run("check-configuration", file.toString()));
        Files.writeString(file, "{\"revision\":1,\"routeTable\":{}}");
        assertEquals(1, run("check-configuration", file.toString()));
    }

    /** The simulation is in a module that this one does not name: the command line has to find it. */
    @Test
    void aDayCanBeSimulated() {
        assertEquals(0, run("simulate", "--seed", "3", "--count", "2", "--steps", "2", "--profile", "cuts"));
        assertEquals(2, run("simulate", "--profile", "none"));
    }
}
