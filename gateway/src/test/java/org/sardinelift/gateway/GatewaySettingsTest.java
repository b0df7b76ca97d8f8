package org.sardinelift.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/** Guards against settings that are documented but stop a gateway at its start. */
class GatewaySettingsTest {
    private static final String REQUIRED =
            "\"role\": \"gateway\", \"instance\": \"g-1\", \"zone\": \"a\","
                    + " \"caller\": \"127.0.0.1:1\", \"ready\": \"127.0.0.1:2\","
                    + " \"internal\": \"127.0.0.1:3\", \"store\": {\"address\": \"127.0.0.1:4\"}";

    private static GatewaySettings read(String optional) {
        SettingsResult<GatewaySettings> result =
                SettingsFile.parse(
                        "{" + REQUIRED + optional + "}",
                        node -> {
                            node.text("role");
                            return GatewaySettings.read(node);
                        });
        assertTrue(result instanceof SettingsResult.Valid, result.toString());
        return ((SettingsResult.Valid<GatewaySettings>) result).settings();
    }

    @Test
    void withoutOptionalSettingsNewPartsAreOff() {
        GatewaySettings settings = read("");

        assertEquals(Optional.empty(), settings.maxLoopDelay());
        assertEquals(Optional.empty(), settings.node().evacuationTime());
        assertEquals(Duration.ZERO, settings.unrepeatableReuseTime());
        assertFalse(settings.hasFairShares());
        assertFalse(settings.node().boundsTargetMemory());
    }

    @Test
    void settingsOfOneObjectAreReadTogether() {
        GatewaySettings settings =
                read(
                        ", \"admission\": {\"maxLoopDelayMs\": 150, \"fairShares\": true},"
                                + " \"evacuation\": {\"applyMs\": 5000},"
                                + " \"fleet\": {\"maxInstances\": 60}");

        assertEquals(Optional.of(Duration.ofMillis(150)), settings.maxLoopDelay());
        assertTrue(settings.hasFairShares());
        assertEquals(Optional.of(Duration.ofSeconds(5)), settings.node().evacuationTime());
        assertEquals(60, settings.node().maxInstances());
    }
}
