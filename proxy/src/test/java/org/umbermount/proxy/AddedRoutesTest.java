package org.umbermount.proxy;

import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.umbermount.proxy.ProxyFixture.RouteSpec;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Routes that are added later are served as well as those that a daemon began with; see docs/traffic.md. */
class AddedRoutesTest {
    private static final int REQUESTS = 24;
    private ProxyFixture proxy;

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        proxy.server("s", 4);
        proxy.routes(RouteSpec.safe("/first/"));
        assertEquals(REQUESTS, served("/first/"));
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
    }

    private int served(String prefix) throws Exception {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            served += ProxyFixture.status(proxy.exchange(ProxyFixture.get(prefix + i))) == 200 ? 1 : 0;
        }
        return served;
    }

    @Test
    void routeAddedToAServiceThatIsThere() throws Exception {
        proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/added/"), RouteSpec.safe("/first/deeper/"));
        assertEquals(REQUESTS, served("/added/"));
        assertEquals(REQUESTS, served("/first/deeper/"));
        assertEquals(REQUESTS, served("/first/"));
    }

    @Test
    void routeAddedWithItsServiceAndItsServers() throws Exception {
        proxy.server("later", 4);
        proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/added/").at("later"));
        assertEquals(REQUESTS, served("/added/"));
    }

    /** Servers speak up before or after the configuration that names their service. */
    @Test
    void routeAddedBeforeOrAfterItsServers() throws Exception {
        proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/added/").at("later"));
        assertEquals(0, served("/added/"));
        proxy.server("later", 4);
        proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/added/").at("later"));
        assertEquals(REQUESTS, served("/added/"));
        proxy.routes(RouteSpec.safe("/first/"));
        proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/again/").at("later"));
        assertEquals(REQUESTS, served("/again/"));
    }

    /** A connection that was there before the change sees the routes of now. */
    @Test
    void routeAddedIsServedOnConnectionsThatAreThereAlready() throws Exception {
        try (Socket client = proxy.connect()) {
            assertEquals(404, statusOn(client, "/added/x"));
            proxy.routes(RouteSpec.safe("/first/"), RouteSpec.safe("/added/"));
            assertEquals(200, statusOn(client, "/added/x"));
            proxy.routes(RouteSpec.safe("/first/"));
            assertEquals(404, statusOn(client, "/added/x"));
            assertEquals(200, statusOn(client, "/first/x"));
        }
    }

    private static int statusOn(Socket client, String path) throws Exception {
        ScriptedServer.write(client.getOutputStream(), ProxyFixture.keep(ProxyFixture.get(path)));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) client.getInputStream().read());
        }
        int at = head.toString().toLowerCase().indexOf("content-length: ") + 16;
        client.getInputStream().readNBytes(Integer.parseInt(head.substring(at, head.indexOf("\r\n", at))));
        return ProxyFixture.status(head.toString());
    }
}
