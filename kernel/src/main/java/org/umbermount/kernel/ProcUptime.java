package org.umbermount.kernel;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The uptime that Linux shows under /proc. It goes on while the machine is suspended. */
public final class ProcUptime implements MachineUptime {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Path UPTIME = Path.of("/proc/uptime");
    private static final int MS_PER_SECOND = 1_000;

    /** It stays the same for the life of a process. */
    private final String bootId = read(BOOT_ID);

    @Override
    public String bootId() {
        return bootId;
    }

    @Override
    public long millis() {
        String text = read(UPTIME);
        int end = text.indexOf(' ');
        try {
            return end < 0 ? 0 : (long) (Double.parseDouble(text.substring(0, end)) * MS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file, StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "";
        }
    }
}
