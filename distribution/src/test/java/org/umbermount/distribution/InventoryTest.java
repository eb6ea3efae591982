package org.umbermount.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class InventoryTest {
    private static final int ROUNDS = 40_000;

    private static RoutingTable table(int keys) {
        Map<String, byte[]> entries = new HashMap<>();
        for (int i = 0; i < keys; i++) {
            entries.put("i/" + i, new byte[] {(byte) keys});
        }
        return RoutingTable.of(entries);
    }

    /** A process with several loops shares the empty table; one loop once got the difference to another's table. */
    @Test
    void eachThreadGetsTheDifferenceToItsOwnTable() throws InterruptedException {
        AtomicInteger wrong = new AtomicInteger();
        CyclicBarrier together = new CyclicBarrier(3);
        List<Thread> loops = new ArrayList<>();
        for (int t = 1; t <= 3; t++) {
            RoutingTable mine = table(t);
            int keys = t;
            Thread loop = new Thread(
                    () -> {
                        try {
                            together.await();
                        } catch (Exception e) {
                            wrong.incrementAndGet();
                        }
                        for (int i = 0; i < ROUNDS; i++) {
                            if (RoutingTable.EMPTY.since(mine).gone().size() != keys) {
                                wrong.incrementAndGet();
                            }
                        }
                    },
                    "loop");
            loop.start();
            loops.add(loop);
        }
        for (Thread loop : loops) {
            loop.join();
        }
        assertEquals(0, wrong.get());
    }
}
