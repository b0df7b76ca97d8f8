package org.sardinelift.ctl.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.Json;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.objects.kinds.DecodeResult;

/**
 * A configuration file: {@code {"objects": [{"kind", "name", "value"}, ...]}} or one such object,
 * in JSON with comments. Keys can't be applied from a file; {@code keys issue} creates them.
 *
 * @param entries the objects, in the order in which they are written
 * @param problems all errors found; nothing may be written unless this is empty
 */
public record ConfigFile(List<ConfigEntry> entries, List<ConfigProblem> problems) {
    private static final Set<String> FIELDS = Set.of("kind", "name", "version", "delete", "value");
    private static final List<ConfigKind> WRITE_ORDER =
            List.of(ConfigKind.SERVICE, ConfigKind.TEMPLATE, ConfigKind.TEAM);

    /**
     * Parses and checks the text of a file.
     *
     * @param text JSON with comments
     * @return the objects and all errors found
     */
    public static ConfigFile parse(String text) {
        JsonNode root;
        try {
            root = Json.parse(text);
        } catch (JsonProcessingException e) {
            long line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            ConfigProblem problem =
                    new ConfigProblem(
                            "line " + line,
                            "JSON with comments",
                            e.getOriginalMessage(),
                            "Correct the syntax.");
            return new ConfigFile(List.of(), List.of(problem));
        }
        List<ConfigProblem> problems = new ArrayList<>();
        Stream<JsonNode> nodes =
                root.has("objects") ? Json.elements(root.path("objects")) : Stream.of(root);
        List<ConfigEntry> entries =
                nodes.map(node -> parseEntry(node, problems))
                        .flatMap(Optional::stream)
                        .sorted(writeOrder())
                        .toList();
        rejectDuplicates(entries, problems);
        return new ConfigFile(entries, List.copyOf(problems));
    }

    private static Comparator<ConfigEntry> writeOrder() {
        Comparator<ConfigEntry> byKind =
                Comparator.comparing(entry -> WRITE_ORDER.indexOf(entry.ref().kind()));
        return (left, right) -> {
            if (left.isDeletion() != right.isDeletion()) {
                return left.isDeletion() ? 1 : -1;
            }
            return left.isDeletion() ? byKind.compare(right, left) : byKind.compare(left, right);
        };
    }

    private static Optional<ConfigEntry> parseEntry(JsonNode node, List<ConfigProblem> problems) {
        String label = node.path("kind").asText();
        String name = node.path("name").asText();
        String path = label + "/" + name;
        Optional<ConfigKind> kind = ConfigKind.of(label).filter(WRITE_ORDER::contains);
        if (kind.isEmpty()) {
            problems.add(
                    new ConfigProblem(
                            path + "/kind",
                            "template, team or service",
                            label,
                            "Correct the kind."));
            return Optional.empty();
        }
        if (name.isBlank()) {
            problems.add(new ConfigProblem(path + "/name", "a name", "nothing", "Set the name."));
            return Optional.empty();
        }
        node.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!FIELDS.contains(field)) {
                                problems.add(unknownField(path, field));
                            }
                        });
        boolean delete = node.path("delete").asBoolean();
        ObjectNode value =
                node.path("value") instanceof ObjectNode object ? object : Json.newObject();
        ConfigRef ref = new ConfigRef(kind.get(), name);
        if (!delete) {
            checkValue(ref, value, problems);
        }
        return Optional.of(new ConfigEntry(ref, parseVersion(node, path, problems), delete, value));
    }

    private static void checkValue(ConfigRef ref, ObjectNode value, List<ConfigProblem> problems) {
        if (ConfigCodec.decode(ref, value.toString())
                instanceof DecodeResult.Invalid<ConfigItem> invalid) {
            problems.addAll(invalid.problems());
        }
    }

    private static OptionalLong parseVersion(
            JsonNode node, String path, List<ConfigProblem> problems) {
        JsonNode version = node.path("version");
        if (version.isMissingNode()) {
            return OptionalLong.empty();
        }
        if (!version.isIntegralNumber() || version.asLong() < 0) {
            problems.add(
                    new ConfigProblem(
                            path + "/version",
                            "a whole number from 0",
                            version.toString(),
                            "Use the version that get prints, or leave it out."));
        }
        return OptionalLong.of(version.asLong());
    }

    private static ConfigProblem unknownField(String path, String field) {
        return new ConfigProblem(
                path + "/" + field,
                "one of " + FIELDS.stream().sorted().toList(),
                "an unknown field",
                "Remove the field or correct its name.");
    }

    private static void rejectDuplicates(List<ConfigEntry> entries, List<ConfigProblem> problems) {
        Set<ConfigRef> seen = new HashSet<>();
        entries.stream()
                .map(ConfigEntry::ref)
                .filter(ref -> !seen.add(ref))
                .forEach(
                        ref ->
                                problems.add(
                                        new ConfigProblem(
                                                ref.kind().label() + "/" + ref.name(),
                                                "each object once",
                                                "it is listed twice",
                                                "Remove one of the two.")));
    }
}
