package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinelift.settings.SettingsError;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsResult;

/**
 * Guards against settings that open plaintext ports beyond loopback, and against changed defaults.
 */
class EntrySettingsTest {
    private static SettingsResult<EntrySettings> parse(String ports) {
        String text = "{\"instance\":\"e1\",\"zone\":\"z1\",\"keyPepper\":\"p\"," + ports + "}";
        return SettingsFile.parse(text, EntrySettings::read);
    }

    private static List<SettingsError> errors(String ports) {
        return assertInstanceOf(SettingsResult.Invalid.class, parse(ports)).errors();
    }

    @ParameterizedTest
    @ValueSource(strings = {"caller", "peer"})
    void aPlaintextPortBeyondLoopbackIsAnError(String port) {
        for (String host : List.of("0.0.0.0", "10.0.0.7", "::", "entry.example")) {
            List<SettingsError> errors = errors("\"%s\":{\"host\":\"%s\"}".formatted(port, host));
            assertEquals(1, errors.size(), host);
            SettingsError error = errors.get(0);
            assertEquals("/" + port + "/tls", error.path());
            assertTrue(error.expected().contains(host), error.expected());
            assertTrue(error.remedy().contains("127.0.0.1"), error.remedy());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1", "127.9.9.9", "::1", "localhost"})
    void aPlaintextPortOnLoopbackIsValid(String host) {
        assertInstanceOf(
                SettingsResult.Valid.class,
                parse(
                        "\"caller\":{\"host\":\"%s\"},\"peer\":{\"host\":\"%s\"}"
                                .formatted(host, host)));
    }

    @Test
    void aPortWithTlsMayBindAnyAddress() {
        String ports =
                """
                "caller": {"host": "0.0.0.0", "tls": {"certificate": "c", "key": "k"}},
                "peer": {
                  "host": "0.0.0.0", "tls": {"certificate": "c", "key": "k", "trust": "t"}
                }
                """;
        assertInstanceOf(SettingsResult.Valid.class, parse(ports));
    }

    @Test
    void anEmptyDataFolderMayBeSet() {
        assertInstanceOf(SettingsResult.Valid.class, parse("\"batch\":{\"dataFolder\":\"\"}"));
        assertEquals("/batch/dataFolder", errors("\"batch\":{\"dataFolder\":7}").get(0).path());
    }

    @Test
    void theSampleRatioHasTheNameAndDefaultOfTheCompanions() {
        var valid = assertInstanceOf(SettingsResult.Valid.class, parse("\"traces\":{}"));
        assertEquals(0.01, ((EntrySettings) valid.settings()).traceRatio());
        valid =
                assertInstanceOf(
                        SettingsResult.Valid.class, parse("\"traces\":{\"sampleRatio\":0.5}"));
        assertEquals(0.5, ((EntrySettings) valid.settings()).traceRatio());
    }

    @Test
    void theOperatorsPortMayBePlaintext() {
        assertInstanceOf(SettingsResult.Valid.class, parse("\"operators\":{\"host\":\"0.0.0.0\"}"));
    }
}
