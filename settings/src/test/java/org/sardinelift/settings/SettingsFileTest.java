package org.sardinelift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a settings file is read, and that every error in it is reported. */
class SettingsFileTest {
    private record Sample(String name, int port, Duration delay) {
        static Sample read(SettingsNode node) {
            return new Sample(
                    node.text("name"),
                    node.object("caller").integer("port", 0, 0, 65_535),
                    node.millis("waitMs", 250));
        }
    }

    private static List<String> errorPaths(String text) {
        SettingsResult<Sample> result = SettingsFile.parse(text, Sample::read);
        var invalid = assertInstanceOf(SettingsResult.Invalid.class, result);
        List<?> errors = invalid.errors();
        return errors.stream().map(error -> ((SettingsError) error).path()).toList();
    }

    @Test
    void readsCommentsAndDefaults() {
        String text = "{ // who\n \"name\": \"e1\", /* port */ \"caller\": {\"port\": 80,}, }";

        assertEquals(
                new SettingsResult.Valid<>(new Sample("e1", 80, Duration.ofMillis(250))),
                SettingsFile.parse(text, Sample::read));
    }

    @Test
    void reportsEveryErrorWithItsPath() {
        String text = "{\"name\": 3, \"caller\": {\"port\": 70000, \"prot\": 1}, \"extra\": 1}";

        assertEquals(List.of("/name", "/caller/port", "/extra", "/caller/prot"), errorPaths(text));
    }

    @Test
    void reportsLineOfSyntaxError() {
        assertEquals(List.of("line 2"), errorPaths("{\n  \"name\" }"));
    }

    @Test
    void reportsDuplicateField() {
        assertEquals(1, errorPaths("{\"name\": \"a\", \"name\": \"b\"}").size());
    }

    @Test
    void reportsMissingFile() {
        var result = SettingsFile.load(Path.of("no-such-file.json"), Sample::read);

        assertInstanceOf(SettingsResult.Invalid.class, result);
    }
}
