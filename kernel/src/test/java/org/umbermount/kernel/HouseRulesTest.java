package org.umbermount.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HouseRulesTest {
    private static final String GOOD = "{\"nodeName\":\"n\",\"ipAddress\":\"10.1.0.3\",\"zone\":\"z\",\"zones\":{\"z\":\"r\"},"
            + "\"listeners\":{\"http\":\"10.1.0.3:8080\"},\"internalPortRange\":[7540,7555],"
            + "\"seedNodes\":[\"10.1.0.3:8544\"],\"bootstrap\":true,\"dataPath\":null,\"later\":{\"field\":1},"
            + "\"bounds\":{\"graceS\":6,\"retryRatio\":0.2}}";

    /** Settings for other tests. */
    static HouseRules valid() throws HouseRules.InvalidException {
        return HouseRules.parse(GOOD.getBytes());
    }

    @Test
    void settingsAreReadAndUnknownFieldsIgnored() throws HouseRules.InvalidException {
        HouseRules rules = HouseRules.parse(GOOD.getBytes());
        assertEquals("", rules.dataPath());
        assertEquals(6_000, rules.bounds().graceMs());
        assertEquals("10.1.0.3:7540", rules.mailAddress(rules.seedNodes().get(0), Role.REGISTRAR).toString());
        assertNull(HouseRules.problem(GOOD.getBytes()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '^', value = {
            "\"zone\":\"z\",|\"zone\":5,|zone", "\"nodeName\":\"n\",||nodeName", "10.1.0.3:8080|10.1.0.3|listeners.http",
            "[7540,7555]|[7540]|internalPortRange", "\"bootstrap\":true|\"bootstrap\":\"yes\"|bootstrap",
            "\"seedNodes\":[\"10.1.0.3:8544\"]|\"seedNodes\":[\"10.1.0.999:1\"]|seedNodes",
            "\"graceS\":6|\"graceS\":\"six\"|graceS", "\"ipAddress\":\"10.1.0.3\"|\"ipAddress\":\"host\"|ipAddress"})
    void badSettingsAreRefusedInOneSentenceNamingTheField(String good, String bad, String field) {
        assertTrue(GOOD.contains(good));
        byte[] bytes = GOOD.replace(good, bad == null ? "" : bad).getBytes();
        HouseRules.InvalidException e = assertThrows(HouseRules.InvalidException.class, () -> HouseRules.parse(bytes));
        assertTrue(e.getMessage().contains(field) && e.getMessage().endsWith("."), e.getMessage());
        assertNotNull(HouseRules.problem(bytes));
    }

    @Test
    void settingsThatAreNotWholeAreRefused() {
        byte[] bytes = GOOD.substring(0, GOOD.length() - 9).getBytes();
        assertThrows(HouseRules.InvalidException.class, () -> HouseRules.parse(bytes));
    }
}
