package org.sardinelift.companion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sardinelift.settings.SettingsError;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

class CompanionSettingsTest {
    private static SettingsResult<CompanionSettings> parse(String peer) {
        String text =
                """
                {
                  "role": "companion", "instance": "c1", "zone": "z1", "peer": %s,
                  "target": {"name": "t1", "service": "engine", "port": 9000}
                }
                """
                        .formatted(peer);
        return SettingsFile.parse(text, CompanionSettings::read);
    }

    @Test
    void plaintextPeerPortBeyondLoopbackIsAnError() {
        var invalid =
                assertInstanceOf(SettingsResult.Invalid.class, parse("{\"host\":\"10.0.0.7\"}"));
        assertEquals(1, invalid.errors().size(), invalid.errors().toString());
        SettingsError error = (SettingsError) invalid.errors().get(0);
        assertEquals("/peer/tls", error.path());
        assertTrue(error.expected().contains("10.0.0.7"), error.expected());
        assertTrue(error.remedy().contains("127.0.0.1"), error.remedy());
    }

    @Test
    void peerPortOnLoopbackOrWithTlsIsValid() {
        assertInstanceOf(SettingsResult.Valid.class, parse("{\"host\":\"127.0.0.1\"}"));
        assertInstanceOf(
                SettingsResult.Valid.class,
                parse(
                        "{\"host\":\"10.0.0.7\",\"tls\":{\"certificate\":\"c\",\"key\":\"k\","
                                + "\"trust\":\"t\"}}"));
    }

    private static SettingsResult<CompanionSettings> parseFields(
            String target, String extraSettings) {
        String text =
                """
                {"instance": "c1", "zone": "z1", "target": {"name": "t1", "service": "s"%s}%s}
                """
                        .formatted(target, extraSettings);
        return SettingsFile.parse(text, CompanionSettings::read);
    }

    private static String onlyError(String target, String extraSettings) {
        var invalid =
                assertInstanceOf(SettingsResult.Invalid.class, parseFields(target, extraSettings));
        assertEquals(1, invalid.errors().size(), invalid.errors().toString());
        return ((SettingsError) invalid.errors().get(0)).path();
    }

    @Test
    void portsOfTheTargetAndThePlatformAreRequired() {
        assertEquals("/target/port", onlyError("", ""));
        assertEquals("/platform/port", onlyError(", \"port\": 9", ", \"platform\": {}"));
        assertInstanceOf(SettingsResult.Valid.class, parseFields(", \"port\": 9", ""));
    }

    @Test
    void backoffSettingIsRefusedSinceCompanionsOpenNoConnections() {
        assertEquals(
                "/links/reconnectMinMs",
                onlyError(", \"port\": 9", ", \"links\": {\"reconnectMinMs\": 10}"));
    }

    @Test
    void traceSampleRatioHasTheDefaultOfTheEntries() {
        var valid = assertInstanceOf(SettingsResult.Valid.class, parseFields(", \"port\": 9", ""));
        assertEquals(0.01, ((CompanionSettings) valid.settings()).traces().sampleRatio());
    }
}
