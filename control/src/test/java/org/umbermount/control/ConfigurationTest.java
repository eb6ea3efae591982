package org.umbermount.control;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.FaultException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigurationTest {
    private static final String GOOD =
            "{\"revision\":7,\"unknownField\":1,\"routeTable\":[{\"label\":\"a\",\"virtualHost\":\"H.example\","
                    + "\"pathPrefix\":\"/p/\",\"routeType\":\"safe\",\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":2,"
                    + "\"weightedUpstreams\":[{\"upstream\":\"s\",\"weight\":90},{\"upstream\":\"t\",\"weight\":10}],\"maxTries\":2},"
                    + "{\"label\":\"b\",\"virtualHost\":\"h.example\",\"pathPrefix\":\"/q/\",\"routeType\":\"unsafe\",\"timeoutMs\":6000,"
                    + "\"upstream\":\"s\"}],\"upstreams\":[{\"label\":\"s\",\"healthCheck\":\"/health\",\"maxConnections\":150,"
                    + "\"protocol\":\"h1\",\"tls\":false},{\"label\":\"t\"}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    @Test
    void goodConfigurationIsRead() throws FaultException {
        Configuration r = Configuration.parse(GOOD.getBytes());
        assertEquals(7, r.edition().value());
        assertEquals(2, r.routes().size());
        assertEquals("h.example", r.routes().get(0).host());
        assertTrue(r.routes().get(0).safe());
        assertEquals(10, r.routes().get(0).shares().get(1).weight());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "\"timeoutMs\":5000|\"timeoutMs\":0|timeoutMs",
                "\"upstream\":\"s\"}],\"upstreams\"|\"upstream\":\"nobody\"}],\"upstreams\"|unknown service nobody",
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"/p/\"|share h.example/p/",
                "\"weight\":90},{\"upstream\":\"t\",\"weight\":10|\"weight\":0},{\"upstream\":\"t\",\"weight\":0|sum to 0",
                "\"routeType\":\"safe\"|\"routeType\":\"maybe\"|routeType",
                "\"revision\":7|\"revision\":\"7\"|revision",
                "\"idleTimeoutMs\":15000}}|\"idleTimeoutMs\":15000|not whole JSON",
                "\"label\":\"t\"|\"label\":\"s\"|there twice"
            })
    void badConfigurationIsRefusedWithTheReason(String good, String bad, String reason) {
        assertTrue(GOOD.contains(good), good);
        FaultException e = assertThrows(
                FaultException.class,
                () -> Configuration.parse(GOOD.replace(good, bad).getBytes()));
        assertEquals(ErrorKind.INVALID_CONFIGURATION, e.erratum());
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    private static void refused(String text, String what) {
        FaultException e = assertThrows(FaultException.class, () -> Configuration.parse(text.getBytes()), what);
        assertEquals(ErrorKind.INVALID_CONFIGURATION, e.erratum(), what);
        assertTrue(
                e.getMessage().startsWith("The configuration is invalid: ")
                        && e.getMessage().length() < 400,
                e.getMessage());
    }

    @Test
    void configurationCutOffAnywhereIsRefused() {
        for (int end = 0; end < GOOD.length(); end++) {
            refused(GOOD.substring(0, end), "cut off after " + end);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "\"revision\":7|\"revision\":7,\"revision\":8",
                "\"timeoutMs\":5000|\"timeoutMs\":5000,\"timeoutMs\":9000",
                "\"timeoutMs\":5000|\"timeoutMs\":-1",
                "\"timeoutMs\":5000|\"timeoutMs\":1e400",
                "\"timeoutMs\":5000|\"timeoutMs\":99999999999999999999999999",
                "\"timeoutMs\":5000|\"timeoutMs\":0.5",
                "\"timeoutMs\":5000|\"timeoutMs\":null",
                "\"revision\":7|\"revision\":0",
                "\"revision\":7|\"revision\":7.5",
                "\"weight\":90|\"weight\":-90",
                "\"maxTries\":2|\"maxTries\":0",
                "\"routeTable\":[|\"routeTable\":{},\"routes\":[",
                "\"upstreams\":[{|\"upstreams\":[[],{",
                "\"label\":\"t\"}|{}",
                "\"virtualHost\":\"H.example\"|\"virtualHost\":3",
                "15000}}|15000}} x",
                "15000}}|15000}}{}"
            })
    void malformedConfigurationsAreRefused(String good, String bad) {
        assertTrue(GOOD.contains(good), good);
        refused(GOOD.replace(good, bad), bad);
    }

    /** What the page does not forbid is taken: an operator whose valid change is refused has nowhere to go. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "\"unknownField\":1|\"unknownField\":{\"deep\":[1,null,{}]}",
                "\"label\":\"a\"|\"label\":\"a\",\"newField\":\"x\"",
                "\"label\":\"b\"|\"label\":\"a\"",
                "\"weight\":90|\"weight\":0",
                "\"timeoutMs\":5000|\"timeoutMs\":5000.0",
                "\"timeoutMs\":5000|\"timeoutMs\":1",
                "\"revision\":7|\"revision\":9007199254740993",
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"/\"",
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"/p/q/\"",
                "\"virtualHost\":\"h.example\"|\"virtualHost\":\"other.example\"",
                "\"label\":\"t\"}|\"label\":\"t\",\"ratePerS\":12.5}",
                ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}|",
                "\"idleTimeoutMs\":15000|\"idleTimeoutMs\":100",
                "\"revision\":7|  \"revision\" : 7 "
            })
    void validConfigurationsAreNeverRefused(String good, String other) throws FaultException {
        assertTrue(GOOD.contains(good), good);
        Configuration r = Configuration.parse(
                GOOD.replace(good, other == null ? "" : other).getBytes());
        assertEquals(2, r.routes().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"/q\"",
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"q/\"",
                "\"pathPrefix\":\"/q/\"|\"pathPrefix\":\"\"",
                "\"virtualHost\":\"h.example\",\"pathPrefix\":\"/q/\"|\"virtualHost\":\"H.EXAMPLE\",\"pathPrefix\":\"/p/\"",
                "\"timeoutMs\":5000|\"timeoutMs\":0.0",
                "\"timeoutMs\":5000|\"timeoutMs\":\"5000\"",
                "\"revision\":7|\"revision\":-7",
                "\"revision\":7|\"revision\":true",
                "\"weightedUpstreams\":[{\"upstream\":\"s\",\"weight\":90},{\"upstream\":\"t\",\"weight\":10}]|\"weightedUpstreams\":[]",
                "\"weightedUpstreams\":[{\"upstream\":\"s\",\"weight\":90}|\"weightedUpstreams\":[{\"upstream\":\"x\",\"weight\":0}",
                "\"priority\":2|\"priority\":-1",
                "\"routeTable\":[{\"label\":\"a\"|\"routeTable\":[null,{\"label\":\"a\"",
                "{\"revision\":7|[{\"revision\":7"
            })
    void doubtfulConfigurationsAreRefused(String good, String bad) {
        assertTrue(GOOD.contains(good), good);
        refused(GOOD.replace(good, bad), bad);
    }
}
