package org.umbermount.idempotency;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.LogRecord;
import org.umbermount.storage.SegmentedLog;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ForgettingTest {
    /** Whoever ends while it gives its records up has no vote left, or all its records. */
    @Test
    void voteGoesBeforeTheRecords() throws IOException {
        for (int at = 0; at < 10; at++) {
            for (int seed = 0; seed < 20; seed++) {
                FakeDirectory vault = new FakeDirectory().chance(seed);
                AppendOnlyFile.open(vault, "memory.stack", 400).put(List.of(new LogRecord((byte) 1, new byte[9])));
                SegmentedLog ledger = SegmentedLog.open(vault, "loans", 10, (segment, body) -> {});
                ledger.append(List.of(new byte[20]));
                ledger.append(List.of(new byte[20]));
                vault.callsLeft = at;
                if (at < 6) {
                    assertThrows(FakeDirectory.EndedException.class, () -> OperationKeeperPlugin.forget(vault));
                } else {
                    OperationKeeperPlugin.forget(vault);
                }
                vault.losePower();
                int[] records = {0};
                SegmentedLog.open(vault, "loans", 10, (segment, body) -> records[0]++);
                assertTrue(
                        AppendOnlyFile.open(vault, "memory.stack", 400).isEmpty() || records[0] == 2,
                        "ended at call " + at);
                assertTrue(at < 6 || records[0] == 0);
            }
        }
    }
}
