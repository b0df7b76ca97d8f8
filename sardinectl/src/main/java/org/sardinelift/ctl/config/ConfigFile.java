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
 * JSON with comments. Keys are not applied but issued.
 *
 * @param entries the objects, in the order in which they are written
 * @param problems everything that is wrong; nothing may be written unless this is empty
 */
public record ConfigFile(List<ConfigEntry> entries, List<ConfigProblem> problems) {
    private static final Set<String> FIELDS = Set.of("kind", "name", "version", "delete", "value");
    private static final List<ConfigKind> WRITE_ORDER =
            List.of(ConfigKind.SERVICE, ConfigKind.TEMPLATE, ConfigKind.TEAM);

    /**
     * Reads and checks a file's text.
     *
     * @param text JSON with comments
     * @return the objects and everything that is wrong with them
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
                nodes.map(node -> entry(node, problems))
                        .flatMap(Optional::stream)
                        .sorted(order())
                        .toList();
        refuseTwice(entries, problems);
        return new ConfigFile(entries, List.copyOf(problems));
    }

    private static Comparator<ConfigEntry> order() {
        Comparator<ConfigEntry> byKind =
                Comparator.comparing(entry -> WRITE_ORDER.indexOf(entry.ref().kind()));
        return (left, right) -> {
            if (left.delete() != right.delete()) {
                return left.delete() ? 1 : -1;
            }
            return left.delete() ? byKind.compare(right, left) : byKind.compare(left, right);
        };
    }

    private static Optional<ConfigEntry> entry(JsonNode node, List<ConfigProblem> problems) {
        String label = node.path("kind").asText();
        String name = node.path("name").asText();
        String path = label + "/" + name;
        Optional<ConfigKind> kind = ConfigKind.of(label).filter(WRITE_ORDER::contains);
        if (kind.isEmpty()) {
            problems.add(
                    new ConfigProblem(
                            path + "/kind", "template, team or service", label, "Correct it."));
            return Optional.empty();
        }
        if (name.isBlank()) {
            problems.add(new ConfigProblem(path + "/name", "a name", "nothing", "Set it."));
            return Optional.empty();
        }
        node.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!FIELDS.contains(field)) {
                                problems.add(unknown(path, field));
                            }
                        });
        boolean delete = node.path("delete").asBoolean();
        ObjectNode value = node.path("value") instanceof ObjectNode object ? object : Json.object();
        ConfigRef ref = new ConfigRef(kind.get(), name);
        if (!delete) {
            check(ref, value, problems);
        }
        return Optional.of(new ConfigEntry(ref, version(node, path, problems), delete, value));
    }

    private static void check(ConfigRef ref, ObjectNode value, List<ConfigProblem> problems) {
        if (ConfigCodec.decode(ref, value.toString())
                instanceof DecodeResult.Invalid<ConfigItem> unsound) {
            problems.addAll(unsound.problems());
        }
    }

    private static OptionalLong version(JsonNode node, String path, List<ConfigProblem> problems) {
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
                            "Take the version that get prints, or leave it out."));
        }
        return OptionalLong.of(version.asLong());
    }

    private static ConfigProblem unknown(String path, String field) {
        return new ConfigProblem(
                path + "/" + field,
                "one of " + FIELDS.stream().sorted().toList(),
                "an unknown field",
                "Remove it or correct its name.");
    }

    private static void refuseTwice(List<ConfigEntry> entries, List<ConfigProblem> problems) {
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
                                                "it stands twice",
                                                "Remove one of the two.")));
    }
}
