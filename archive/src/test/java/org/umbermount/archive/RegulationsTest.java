package org.umbermount.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.Erratum;
import org.umbermount.kernel.FaultException;

class RegulationsTest {
    private static final String GOOD = "{\"revision\":7,\"unknownField\":1,\"routeTable\":[{\"label\":\"a\",\"virtualHost\":\"H.example\","
            + "\"pathPrefix\":\"/p/\",\"routeType\":\"safe\",\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":2,"
            + "\"weightedUpstreams\":[{\"upstream\":\"s\",\"weight\":90},{\"upstream\":\"t\",\"weight\":10}],\"maxTries\":2},"
            + "{\"label\":\"b\",\"virtualHost\":\"h.example\",\"pathPrefix\":\"/q/\",\"routeType\":\"unsafe\",\"timeoutMs\":6000,"
            + "\"upstream\":\"s\"}],\"upstreams\":[{\"label\":\"s\",\"healthCheck\":\"/health\",\"maxConnections\":150,"
            + "\"protocol\":\"h1\",\"tls\":false},{\"label\":\"t\"}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    @Test
    void goodConfigurationIsRead() throws FaultException {
        Regulations r = Regulations.parse(GOOD.getBytes());
        assertEquals(7, r.edition().value());
        assertEquals(2, r.routes().size());
        assertEquals("h.example", r.routes().get(0).host());
        assertTrue(r.routes().get(0).safe());
        assertEquals(10, r.routes().get(0).shares().get(1).weight());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '^', value = {
            "\"timeoutMs\":5000|\"timeoutMs\":0|timeoutMs",
            "\"upstream\":\"s\"}],\"upstreams\"|\"upstream\":\"nobody\"}],\"upstreams\"|unknown service nobody",
            "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"/p/\"|share h.example/p/",
            "\"weight\":90},{\"upstream\":\"t\",\"weight\":10|\"weight\":0},{\"upstream\":\"t\",\"weight\":0|sum to 0",
            "\"routeType\":\"safe\"|\"routeType\":\"maybe\"|routeType",
            "\"revision\":7|\"revision\":\"7\"|revision",
            "\"idleTimeoutMs\":15000}}|\"idleTimeoutMs\":15000|not whole JSON",
            "\"label\":\"t\"|\"label\":\"s\"|there twice"})
    void badConfigurationIsRefusedWithTheReason(String good, String bad, String reason) {
        assertTrue(GOOD.contains(good), good);
        FaultException e = assertThrows(FaultException.class, () -> Regulations.parse(GOOD.replace(good, bad).getBytes()));
        assertEquals(Erratum.INVALID_CONFIGURATION, e.erratum());
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }
}
