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
 * One object of a settings file. Each accessor notes the field as known and records an error
 * instead of throwing, so that one check reports everything that is wrong.
 */
public final class SettingsNode {
    private final JsonNode node;
    private final String path;
    private final List<SettingsError> errors;
    private final Set<String> known = new HashSet<>();
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
     * Whether a field is present and not null.
     *
     * @param name field name
     * @return true where the field has a value
     */
    public boolean has(String name) {
        return !field(name).isMissingNode();
    }

    /**
     * A text that must be there.
     *
     * @param name field name
     * @return its value, empty where an error was recorded
     */
    public String text(String name) {
        JsonNode value = field(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            addError(name, "a non-empty string", show(value), "Set it.");
            return "";
        }
        return value.asText();
    }

    /**
     * A text with a default.
     *
     * @param name field name
     * @param fallback value where the field is absent
     * @return its value
     */
    public String text(String name, String fallback) {
        return field(name).isMissingNode() ? fallback : text(name);
    }

    /**
     * A text that may be absent.
     *
     * @param name field name
     * @return its value, or empty
     */
    public Optional<String> optionalText(String name) {
        return field(name).isMissingNode() ? Optional.empty() : Optional.of(text(name));
    }

    /**
     * A text that may be absent or empty.
     *
     * @param name field name
     * @return its value, empty where it is absent
     */
    public String textOrEmpty(String name) {
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isTextual()) {
            addError(name, "a string", show(value), "Write \"...\", or leave it out for none.");
            return "";
        }
        return value.asText();
    }

    /**
     * One of a fixed set of texts.
     *
     * @param name field name
     * @param choices allowed values, the first is the default
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
     * A whole number with a default.
     *
     * @param name field name
     * @param fallback value where the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value
     */
    public int integer(String name, int fallback, int min, int max) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            addError(name, "a whole number from " + min + " to " + max, show(value), "Correct it.");
            return fallback;
        }
        return value.asInt();
    }

    /**
     * A whole number that must be there.
     *
     * @param name field name
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value, the smallest where an error was recorded
     */
    public int integer(String name, int min, int max) {
        if (field(name).isMissingNode()) {
            addError(name, "a whole number from " + min + " to " + max, "nothing", "Set it.");
            return min;
        }
        return integer(name, min, min, max);
    }

    /**
     * A number with a default.
     *
     * @param name field name
     * @param fallback value where the field is absent
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return its value
     */
    public double number(String name, double fallback, double min, double max) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            addError(name, "a number from " + min + " to " + max, show(value), "Correct it.");
            return fallback;
        }
        return value.asDouble();
    }

    /**
     * A time in milliseconds with a default.
     *
     * @param name field name, ending in {@code Ms}
     * @param fallbackMs value where the field is absent, milliseconds
     * @return its value
     */
    public Duration millis(String name, int fallbackMs) {
        return Duration.ofMillis(integer(name, fallbackMs, 0, Integer.MAX_VALUE));
    }

    /**
     * A truth value with a default.
     *
     * @param name field name
     * @param fallback value where the field is absent
     * @return its value
     */
    public boolean flag(String name, boolean fallback) {
        JsonNode value = field(name);
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isBoolean()) {
            addError(name, "true or false", show(value), "Correct it.");
            return fallback;
        }
        return value.asBoolean();
    }

    /**
     * A list of texts, empty where the field is absent.
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
            addError(name, "a list of strings", show(value), "Write [\"...\"].");
            return List.of();
        }
        return elements(value).map(JsonNode::asText).toList();
    }

    /**
     * An object; its fields take their defaults where it is absent.
     *
     * @param name field name
     * @return the object
     */
    public SettingsNode object(String name) {
        return child(field(name), path + "/" + name);
    }

    /**
     * An object that may be absent.
     *
     * @param name field name
     * @param reader builds the value from the object
     * @param <T> type of the value
     * @return the value, or empty
     */
    public <T> Optional<T> optionalObject(String name, Function<SettingsNode, T> reader) {
        return field(name).isMissingNode()
                ? Optional.empty()
                : Optional.of(reader.apply(object(name)));
    }

    /**
     * A list of objects, empty where the field is absent.
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
            addError(name, "a list of objects", show(value), "Write [{ ... }].");
            return List.of();
        }
        List<T> values = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            values.add(reader.apply(child(value.get(i), path + "/" + name + "/" + i)));
        }
        return values;
    }

    /**
     * Records an error found by a check over several fields.
     *
     * @param name field that the error is shown at
     * @param expected what was expected
     * @param found what was found
     * @param remedy what to do
     */
    public void addError(String name, String expected, String found, String remedy) {
        String where = name.isEmpty() ? path : path + "/" + name;
        errors.add(new SettingsError(where.isEmpty() ? "/" : where, expected, found, remedy));
    }

    void refuseUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                addError(
                                        name,
                                        "one of " + known.stream().sorted().toList(),
                                        "an unknown field",
                                        "Remove it or correct its name.");
                            }
                        });
        children.forEach(SettingsNode::refuseUnknownFields);
    }

    private SettingsNode child(JsonNode value, String childPath) {
        SettingsNode child = new SettingsNode(value, childPath, errors);
        children.add(child);
        return child;
    }

    private JsonNode field(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        return value == null || value.isNull() ? MissingNode.getInstance() : value;
    }

    private static String show(JsonNode value) {
        return value.isMissingNode() ? "nothing" : value.toString();
    }

    private static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }
}
