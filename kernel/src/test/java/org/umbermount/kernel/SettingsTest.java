package org.umbermount.kernel;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SettingsTest {
    private static final String GOOD =
            "{\"nodeName\":\"n\",\"ipAddress\":\"10.1.0.3\",\"zone\":\"z\",\"zones\":{\"z\":\"r\"},"
                    + "\"listeners\":{\"http\":\"10.1.0.3:8080\"},\"internalPortRange\":[7540,7555],"
                    + "\"seedNodes\":[\"10.1.0.3:8544\"],\"bootstrap\":true,\"dataPath\":null,\"later\":{\"field\":1},"
                    + "\"bounds\":{\"graceS\":6,\"retryRatio\":0.2}}";

    /** Settings for other tests. */
    static Settings valid() throws Settings.InvalidException {
        return Settings.parse(GOOD.getBytes());
    }

    @Test
    void settingsAreReadAndUnknownFieldsIgnored() throws Settings.InvalidException {
        Settings rules = Settings.parse(GOOD.getBytes());
        assertEquals("", rules.dataPath());
        assertEquals(6_000, rules.bounds().graceMs());
        assertEquals(
                "10.1.0.3:7540",
                rules.mailAddress(rules.seedNodes().get(0), Role.CONTROLLER).toString());
        assertNull(Settings.problem(GOOD.getBytes()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "\"zone\":\"z\",|\"zone\":5,|zone",
                "\"nodeName\":\"n\",||nodeName",
                "10.1.0.3:8080|10.1.0.3|listeners.http",
                "[7540,7555]|[7540]|internalPortRange",
                "\"bootstrap\":true|\"bootstrap\":\"yes\"|bootstrap",
                "\"seedNodes\":[\"10.1.0.3:8544\"]|\"seedNodes\":[\"10.1.0.999:1\"]|seedNodes",
                "\"graceS\":6|\"graceS\":\"six\"|graceS",
                "\"ipAddress\":\"10.1.0.3\"|\"ipAddress\":\"host\"|ipAddress"
            })
    void badSettingsAreRefusedInOneSentenceNamingTheField(String good, String bad, String field) {
        assertTrue(GOOD.contains(good));
        byte[] bytes = GOOD.replace(good, bad == null ? "" : bad).getBytes();
        Settings.InvalidException e = assertThrows(Settings.InvalidException.class, () -> Settings.parse(bytes));
        assertTrue(e.getMessage().contains(field) && e.getMessage().endsWith("."), e.getMessage());
        assertNotNull(Settings.problem(bytes));
    }

    @Test
    void settingsThatAreNotWholeAreRefused() {
        byte[] bytes = GOOD.substring(0, GOOD.length() - 9).getBytes();
        assertThrows(Settings.InvalidException.class, () -> Settings.parse(bytes));
    }
}
