package org.umbermount.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** No try of a client runs on more servers than its route's {@code maxTries}; see docs/traffic.md. */
class BudgetRulesTest {
    private static final int SERVERS = 4;
    private final ScriptedServer[] servers = new ScriptedServer[SERVERS];
    private ProxyFixture proxy;

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = proxy.server("s", 4);
        }
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
    }

    private void act(ScriptedServer.Act act) {
        for (ScriptedServer server : servers) {
            server.act(act);
        }
    }

    private int seen() {
        int sum = 0;
        for (ScriptedServer server : servers) {
            sum += server.seen.size();
        }
        return sum;
    }

    @Test
    void cutAnswersAreAskedForAtMaxTriesServersAndNoMore() throws Exception {
        act(ScriptedServer.raw("", false));
        for (int tries = 1; tries <= 3; tries++) {
            proxy.routes(ProxyFixture.RouteSpec.safe("/a/").tries(tries));
            int before = seen();
            assertEquals(502, ProxyFixture.status(proxy.exchange(ProxyFixture.get("/a/x"))));
            assertEquals(tries, seen() - before);
        }
    }

    @Test
    void refusalsThatProveThatNothingRanCountToo() throws Exception {
        act(ScriptedServer.raw(
                "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Attempt: t1\r\nContent-Length: 0\r\n\r\n", true));
        proxy.routes(ProxyFixture.RouteSpec.unsafe("/a/").tries(2));
        assertEquals(503, ProxyFixture.status(proxy.exchange(ProxyFixture.messenger("/a/x", "b"))));
        assertEquals(2, seen());
    }

    /** A slow answer is asked for a second time, the first is then lost, and the second too. */
    @Test
    void secondAskingOfASlowAnswerIsCounted() throws Exception {
        act((request, out) -> {
            Thread.sleep(700);
            return false;
        });
        proxy.routes(ProxyFixture.RouteSpec.safe("/a/").tries(2).aim(100));
        assertEquals(502, ProxyFixture.status(proxy.exchange(ProxyFixture.get("/a/x"))));
        assertEquals(2, seen());
    }

    /** The number of servers is lowered while the first is at work: it holds for what is sent after that. */
    @Test
    void lowerNumberOfServersHoldsForRequestsUnderWay() throws Exception {
        CountDownLatch change = new CountDownLatch(1);
        act((request, out) -> {
            change.await(3, TimeUnit.SECONDS);
            return false;
        });
        proxy.routes(ProxyFixture.RouteSpec.safe("/a/").tries(3).aim(2_000));
        Thread changing = new Thread(() -> {
            try {
                assertTrue(ProxyFixture.eventually(() -> seen() == 1));
                proxy.routes(ProxyFixture.RouteSpec.safe("/a/").tries(1).aim(2_000));
                change.countDown();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        changing.start();
        assertEquals(502, ProxyFixture.status(proxy.exchange(ProxyFixture.get("/a/x"))));
        changing.join();
        assertEquals(1, seen());
    }
}
