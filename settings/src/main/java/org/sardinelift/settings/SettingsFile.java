package org.sardinelift.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Reads a settings file: JSON (RFC 8259) with Java comments and trailing commas. */
public final class SettingsFile {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private SettingsFile() {}

    /**
     * Reads and checks a file.
     *
     * @param file path of the file
     * @param reader builds the settings from the root object; fields that it does not read are
     *     errors
     * @param <T> type of the settings
     * @return the settings, or every error found
     */
    public static <T> SettingsResult<T> load(Path file, Function<SettingsNode, T> reader) {
        try {
            return parse(Files.readString(file), reader);
        } catch (IOException e) {
            return invalid(
                    new SettingsError(
                            file.toString(),
                            "a readable UTF-8 file",
                            String.valueOf(e.getMessage()),
                            "Check the path and its permissions."));
        }
    }

    /**
     * Reads and checks settings from a string.
     *
     * @param text JSON with comments
     * @param reader builds the settings from the root object
     * @param <T> type of the settings
     * @return the settings, or every error found
     */
    public static <T> SettingsResult<T> parse(String text, Function<SettingsNode, T> reader) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return invalid(
                    new SettingsError(
                            "line " + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()),
                            "JSON with comments",
                            String.valueOf(e.getOriginalMessage()),
                            "Correct the syntax."));
        }
        List<SettingsError> errors = new ArrayList<>();
        SettingsNode node = SettingsNode.root(root, errors);
        T settings = reader.apply(node);
        node.addUnknownFieldErrors();
        return errors.isEmpty()
                ? new SettingsResult.Valid<>(settings)
                : new SettingsResult.Invalid<>(List.copyOf(errors));
    }

    private static <T> SettingsResult<T> invalid(SettingsError error) {
        return new SettingsResult.Invalid<>(List.of(error));
    }
}
