package org.umbermount.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** No program decides anything by the time of day, nor by numbers that are drawn from it. */
class TimeOfDayTest {
    /** What reads the time of day; JDK 17 seeds ThreadLocalRandom and an unseeded Random from clocks. */
    private static final Pattern READS_IT =
            Pattern.compile("currentTimeMillis|wallMillis|Instant\\.now|LocalDateTime\\.now"
                    + "|ZonedDateTime\\.now|java\\.time\\.Clock|ThreadLocalRandom|new Random\\(\\)|Math\\.random");
    /** Where the time of day is offered. */
    private static final Set<String> OFFER_IT = Set.of("Clock.java", "LoopClock.java");

    private static List<Path> programs() throws IOException {
        try (Stream<Path> modules = Files.list(Path.of(".."))) {
            List<Path> sources = new ArrayList<>();
            for (Path module : modules.map(m -> m.resolve("src/main/java"))
                    .filter(Files::isDirectory)
                    .toList()) {
                try (Stream<Path> files = Files.walk(module)) {
                    files.filter(f -> f.toString().endsWith(".java")).forEach(sources::add);
                }
            }
            return sources;
        }
    }

    @Test
    void noProgramReadsTheTimeOfDay() throws IOException {
        List<Path> programs = programs();
        assertTrue(programs.size() > 100, "found only " + programs.size() + " sources");
        List<String> readers = new ArrayList<>();
        for (Path source : programs) {
            if (!OFFER_IT.contains(source.getFileName().toString())
                    && READS_IT.matcher(Files.readString(source)).find()) {
                readers.add(source.toString());
            }
        }
        assertEquals(List.of(), readers);
    }
}
