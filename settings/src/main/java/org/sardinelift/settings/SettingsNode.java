package org.sardinelift.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * One JSON object of a settings file. Each accessor marks its field as known, and records an error
 * instead of throwing, so that one run reports all errors.
 */
public final class SettingsNode {
    private final JsonNode node;
    private final String path;
    private final List<SettingsError> errors;
    private final Set<String> knownFields = new HashSet<>();
    private final List<SettingsNode> children = new ArrayList<>();

    private SettingsNode(JsonNode node, String path, List<SettingsError> errors) {
        this.node = node;
        this.path = path;
        this.errors = errors;
        if (!node.isObject() && !node.isMissingNode()) {
            addError("", "an object", node.toString(), "Write { ... } here.");
        }
    }

    static SettingsNode root(JsonNode node, List<SettingsError> errors) {
        return new SettingsNode(node, "", errors);
    }

    /**
     * Returns whether a field is present and not null.
     *
     * @param name field name
     * @return true if the field has a value
     */
    public boolean has(String name) {
        return !field(name).isMissingNode();
    }

    /**
     * Returns a required string.
     *
     * @param name field name
     * @return its value, empty if an error was recorded
     */
    public String text(String name) {
        JsonNode value = field(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            addError(name, "a non-empty string", describe(value), "Set it.");
            return "";
        }
        return value.asText();
    }

    /**
     * Returns a string with a default.
     *
     * @param name field name
     * @param defaultValue value if the field is absent
     * @return its value
     */
    public String text(String name, String defaultValue) {
        return field(name).isMissingNode() ? defaultValue : text(name);
    }

    /**
     * Returns an optional string.
     *
     * @param name field name
     * @return its value, empty if the field is absent
     */
    public Optional<String> optionalText(String name) {
        return field(name).isMissingNode() ? Optional.empty() : Optional.of(text(name));
    }

    /**
     * Returns a string that may be absent or empty.
     *
     * @param name field name
     * @return its value, an empty string if the field is absent
     */
    public String textOrEmpty(String name) {
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isTextual()) {
            addError(name, "a string", describe(value), "Write \"...\", or leave it out for none.");
            return "";
        }
        return value.asText();
    }

    /**
     * Returns one of a fixed set of strings.
     *
     * @param name field name
     * @param choices allowed values; the first is the default
     * @return its value
     */
    public String choice(String name, String... choices) {
        String value = text(name, choices[0]);
        if (!List.of(choices).contains(value)) {
            addError(name, "one of " + String.join(", ", choices), value, "Choose one of these.");
            return choices[0];
        }
        return value;
    }

    /**
     * Returns an integer with a default.
     *
     * @param name field name
     * @param defaultValue value if the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value
     */
    public int integer(String name, int defaultValue, int min, int max) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            addError(
                    name,
                    "a whole number from " + min + " to " + max,
                    describe(value),
                    "Correct it.");
            return defaultValue;
        }
        return value.asInt();
    }

    /**
     * Returns a required integer.
     *
     * @param name field name
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value, {@code min} if an error was recorded
     */
    public int integer(String name, int min, int max) {
        if (field(name).isMissingNode()) {
            addError(name, "a whole number from " + min + " to " + max, "nothing", "Set it.");
            return min;
        }
        return integer(name, min, min, max);
    }

    /**
     * Returns a number with a default.
     *
     * @param name field name
     * @param defaultValue value if the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value
     */
    public double number(String name, double defaultValue, double min, double max) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            addError(name, "a number from " + min + " to " + max, describe(value), "Correct it.");
            return defaultValue;
        }
        return value.asDouble();
    }

    /**
     * Returns a duration, given in milliseconds, with a default.
     *
     * @param name field name, ending in {@code Ms}
     * @param defaultMs value if the field is absent, milliseconds
     * @return its value
     */
    public Duration millis(String name, int defaultMs) {
        return Duration.ofMillis(integer(name, defaultMs, 0, Integer.MAX_VALUE));
    }

    /**
     * Returns a boolean with a default.
     *
     * @param name field name
     * @param defaultValue value if the field is absent
     * @return its value
     */
    public boolean flag(String name, boolean defaultValue) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addError(name, "true or false", describe(value), "Correct it.");
            return defaultValue;
        }
        return value.asBoolean();
    }

    /**
     * Returns a list of strings, empty if the field is absent.
     *
     * @param name field name
     * @return its values
     */
    public List<String> texts(String name) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray() || !elements(value).allMatch(JsonNode::isTextual)) {
            addError(name, "a list of strings", describe(value), "Write [\"...\"].");
            return List.of();
        }
        return elements(value).map(JsonNode::asText).toList();
    }

    /**
     * Returns an object; if it is absent, its fields have their defaults.
     *
     * @param name field name
     * @return the object
     */
    public SettingsNode object(String name) {
        return child(field(name), path + "/" + name);
    }

    /**
     * Returns the value built from an optional object.
     *
     * @param name field name
     * @param reader builds the value from the object
     * @param <T> type of the value
     * @return the value, empty if the field is absent
     */
    public <T> Optional<T> optionalObject(String name, Function<SettingsNode, T> reader) {
        return field(name).isMissingNode()
                ? Optional.empty()
                : Optional.of(reader.apply(object(name)));
    }

    /**
     * Returns the values built from a list of objects, empty if the field is absent.
     *
     * @param name field name
     * @param reader builds a value from each object
     * @param <T> type of the values
     * @return the values
     */
    public <T> List<T> objects(String name, Function<SettingsNode, T> reader) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray()) {
            addError(name, "a list of objects", describe(value), "Write [{ ... }].");
            return List.of();
        }
        List<T> values = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            values.add(reader.apply(child(value.get(i), path + "/" + name + "/" + i)));
        }
        return values;
    }

    /**
     * Records an error that a check over several fields found.
     *
     * @param name field at which the error is reported
     * @param expected what was expected
     * @param found what was found
     * @param remedy how to correct it
     */
    public void addError(String name, String expected, String found, String remedy) {
        String errorPath = name.isEmpty() ? path : path + "/" + name;
        errors.add(
                new SettingsError(errorPath.isEmpty() ? "/" : errorPath, expected, found, remedy));
    }

    void addUnknownFieldErrors() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!knownFields.contains(name)) {
                                addError(
                                        name,
                                        "one of " + knownFields.stream().sorted().toList(),
                                        "an unknown field",
                                        "Remove it or correct its name.");
                            }
                        });
        children.forEach(SettingsNode::addUnknownFieldErrors);
    }

    private SettingsNode child(JsonNode value, String childPath) {
        SettingsNode child = new SettingsNode(value, childPath, errors);
        children.add(child);
        return child;
    }

    private JsonNode field(String name) {
        knownFields.add(name);
        JsonNode value = node.get(name);
        return value == null || value.isNull() ? MissingNode.getInstance() : value;
    }

    private static String describe(JsonNode value) {
        return value.isMissingNode() ? "nothing" : value.toString();
    }

    private static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }
}
