package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.TeamSpec;
import org.sardinelift.ctl.Json;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.objects.kinds.DecodeResult;

/** Configuration objects read from the platform. */
public final class StoredConfig {
    private final Map<ConfigKind, Map<String, StoredObject>> objects;

    private StoredConfig(Map<ConfigKind, Map<String, StoredObject>> objects) {
        this.objects = objects;
    }

    /** Outcome of reading the configuration. */
    public sealed interface Result {
        /**
         * The configuration was read.
         *
         * @param config the configuration
         */
        record Read(StoredConfig config) implements Result {}

        /**
         * The platform did not answer.
         *
         * @param reason why it did not answer
         */
        record Unavailable(String reason) implements Result {}
    }

    /**
     * Reads all objects of the given kinds.
     *
     * @param store the platform
     * @param kinds kinds to read
     * @return the configuration, or why it can't be read
     */
    public static Result read(ObjectStore store, ConfigKind... kinds) {
        Map<ConfigKind, Map<String, StoredObject>> found = new TreeMap<>();
        for (ConfigKind kind : kinds) {
            ListResult listed = store.list(kind.label(), "").join();
            if (listed instanceof ListResult.Unavailable unavailable) {
                return new Result.Unavailable(unavailable.reason());
            }
            found.put(
                    kind,
                    ((ListResult.Listed) listed)
                            .objects().stream()
                                    .collect(
                                            Collectors.toMap(
                                                    object -> object.key().name(),
                                                    Function.identity(),
                                                    (left, right) -> right,
                                                    TreeMap::new)));
        }
        return new Result.Read(new StoredConfig(found));
    }

    /**
     * Finds an object.
     *
     * @param ref kind and name of the object
     * @return the object, or empty
     */
    public Optional<StoredObject> find(ConfigRef ref) {
        return Optional.ofNullable(ofKind(ref.kind()).get(ref.name()));
    }

    /**
     * Returns the objects of one kind.
     *
     * @param kind the kind
     * @return the objects, by name
     */
    public List<StoredObject> list(ConfigKind kind) {
        return List.copyOf(ofKind(kind).values());
    }

    /**
     * Parses the value of an object.
     *
     * @param object the object
     * @return the value, without fields if it is not a JSON object
     */
    public static ObjectNode parseValue(StoredObject object) {
        return Json.parseOrMissing(object.value()) instanceof ObjectNode node
                ? node
                : Json.newObject();
    }

    /**
     * Checks that the template of each team will exist once the entries are written. Instances make
     * the same check.
     *
     * @param entries the objects to write
     * @return all errors found
     */
    public List<ConfigProblem> checkReferences(List<ConfigEntry> entries) {
        Set<String> templates = new HashSet<>(ofKind(ConfigKind.TEMPLATE).keySet());
        ofKind(entries, ConfigKind.TEMPLATE, false)
                .forEach(entry -> templates.add(entry.ref().name()));
        ofKind(entries, ConfigKind.TEMPLATE, true)
                .forEach(entry -> templates.remove(entry.ref().name()));
        Map<String, String> teams = new TreeMap<>();
        list(ConfigKind.TEAM)
                .forEach(
                        object ->
                                teams.put(
                                        object.key().name(),
                                        templateOf(object.value(), object.key().name())));
        ofKind(entries, ConfigKind.TEAM, false)
                .forEach(
                        entry ->
                                teams.put(
                                        entry.ref().name(),
                                        templateOf(entry.value().toString(), entry.ref().name())));
        ofKind(entries, ConfigKind.TEAM, true).forEach(entry -> teams.remove(entry.ref().name()));
        List<ConfigProblem> problems = new ArrayList<>();
        teams.forEach(
                (team, template) -> {
                    if (!template.isEmpty() && !templates.contains(template)) {
                        problems.add(ConfigProblem.missingTemplate(team, template));
                    }
                });
        return problems;
    }

    private static String templateOf(String value, String team) {
        return ConfigCodec.decode(new ConfigRef(ConfigKind.TEAM, team), value)
                                instanceof DecodeResult.Valid<ConfigItem> valid
                        && valid.item() instanceof TeamSpec spec
                ? spec.template()
                : "";
    }

    private static Stream<ConfigEntry> ofKind(
            List<ConfigEntry> entries, ConfigKind kind, boolean delete) {
        return entries.stream()
                .filter(entry -> entry.ref().kind() == kind && entry.isDeletion() == delete);
    }

    private Map<String, StoredObject> ofKind(ConfigKind kind) {
        return objects.getOrDefault(kind, Map.of());
    }
}
