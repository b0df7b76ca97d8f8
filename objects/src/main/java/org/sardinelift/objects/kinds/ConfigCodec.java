package org.sardinelift.objects.kinds;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamSpec;
import org.sardinelift.core.catalog.TeamTemplate;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsNode;
import org.sardinelift.settings.SettingsResult;

/**
 * Decodes and encodes configuration objects as JSON. The name of an object is not part of its
 * value. Unknown fields are errors. {@code sardinectl} and the instances use the same checks.
 */
public final class ConfigCodec {
    /** Field with the mark of the last write, by which a writer recognizes its own write. */
    public static final String WRITE_MARK_FIELD = "mark";

    private static final double MAX_RATE_PER_SECOND = 10_000_000;

    /** Entries divide a burst between them; below this, rounding could leave no whole token. */
    private static final double MIN_BURST = 2;

    private static final int MAX_WEIGHT = 1_000_000;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private ConfigCodec() {}

    /**
     * Decodes the value of a configuration object.
     *
     * @param ref kind and name of the object
     * @param json value of the object
     * @return the object, or every problem found
     */
    public static DecodeResult<ConfigItem> decode(ConfigRef ref, String json) {
        Function<SettingsNode, ConfigItem> reader = node -> item(ref, node);
        SettingsResult<ConfigItem> result = SettingsFile.parse(json, reader);
        if (result instanceof SettingsResult.Invalid<ConfigItem> invalid) {
            return new DecodeResult.Invalid<>(
                    invalid.errors().stream()
                            .map(
                                    error ->
                                            new ConfigProblem(
                                                    path(ref, error.path()),
                                                    error.expected(),
                                                    error.found(),
                                                    error.remedy()))
                            .toList());
        }
        return new DecodeResult.Valid<>(((SettingsResult.Valid<ConfigItem>) result).settings());
    }

    /**
     * Encodes a configuration object.
     *
     * @param item the object
     * @return value of the object, one line of JSON
     */
    public static String encode(ConfigItem item) {
        ObjectNode node = MAPPER.createObjectNode();
        if (item instanceof TeamTemplate template) {
            node.put("ratePerSecond", template.ratePerSecond());
            node.put("burst", template.burst());
            texts(node, "models", template.models());
            texts(node, "services", template.services());
            node.put("onlineWeight", template.onlineWeight());
            node.put("batchWeight", template.batchWeight());
        } else if (item instanceof TeamSpec team) {
            node.put("template", team.template());
            team.ratePerSecond().ifPresent(value -> node.put("ratePerSecond", value));
            team.burst().ifPresent(value -> node.put("burst", value));
            team.models().ifPresent(value -> texts(node, "models", value));
            team.services().ifPresent(value -> texts(node, "services", value));
            team.onlineWeight().ifPresent(value -> node.put("onlineWeight", value));
            team.batchWeight().ifPresent(value -> node.put("batchWeight", value));
        } else if (item instanceof KeyEntry key) {
            node.put("team", key.team());
            node.put("digest", key.digest());
            node.put("withdrawn", key.isWithdrawn());
        } else if (item instanceof ServiceSpec service) {
            node.put("engine", service.isEngine());
            texts(node, "models", service.models());
            node.put("open", service.isOpen());
            texts(node, "repeatableMethods", service.repeatableMethods());
            node.put("checksFence", service.checksFence());
        }
        return node.toString();
    }

    /**
     * Returns the kind and name under which an object is stored.
     *
     * @param item the object
     * @return kind and name of the object
     */
    public static ConfigRef refOf(ConfigItem item) {
        if (item instanceof TeamTemplate template) {
            return new ConfigRef(ConfigKind.TEMPLATE, template.name());
        }
        if (item instanceof TeamSpec team) {
            return new ConfigRef(ConfigKind.TEAM, team.name());
        }
        if (item instanceof KeyEntry key) {
            return new ConfigRef(ConfigKind.KEY, key.id());
        }
        return new ConfigRef(ConfigKind.SERVICE, ((ServiceSpec) item).name());
    }

    private static ConfigItem item(ConfigRef ref, SettingsNode node) {
        node.optionalText(WRITE_MARK_FIELD);
        return switch (ref.kind()) {
            case TEMPLATE -> template(ref.name(), node);
            case TEAM -> team(ref.name(), node);
            case KEY -> key(ref.name(), node);
            case SERVICE -> service(ref.name(), node);
        };
    }

    private static TeamTemplate template(String name, SettingsNode node) {
        return new TeamTemplate(
                name,
                number(node, "ratePerSecond")
                        .orElseGet(() -> addMissingError(node, "ratePerSecond")),
                burst(node).orElseGet(() -> addMissingError(node, "burst")),
                Set.copyOf(node.texts("models")),
                Set.copyOf(node.texts("services")),
                node.integer("onlineWeight", 1, 1, MAX_WEIGHT),
                node.integer("batchWeight", 1, 1, MAX_WEIGHT));
    }

    private static TeamSpec team(String name, SettingsNode node) {
        return new TeamSpec(
                name,
                node.text("template"),
                number(node, "ratePerSecond"),
                burst(node),
                texts(node, "models"),
                texts(node, "services"),
                weight(node, "onlineWeight"),
                weight(node, "batchWeight"));
    }

    private static KeyEntry key(String id, SettingsNode node) {
        return new KeyEntry(
                id, node.text("team"), node.text("digest"), node.flag("withdrawn", false));
    }

    private static ServiceSpec service(String name, SettingsNode node) {
        return new ServiceSpec(
                name,
                node.flag("engine", false),
                Set.copyOf(node.texts("models")),
                node.flag("open", false),
                Set.copyOf(node.texts("repeatableMethods")),
                node.flag("checksFence", false));
    }

    private static Optional<Double> number(SettingsNode node, String field) {
        return node.has(field)
                ? Optional.of(node.number(field, 0, 0, MAX_RATE_PER_SECOND))
                : Optional.empty();
    }

    private static Optional<Double> burst(SettingsNode node) {
        return node.has("burst")
                ? Optional.of(node.number("burst", MIN_BURST, MIN_BURST, MAX_RATE_PER_SECOND))
                : Optional.empty();
    }

    private static double addMissingError(SettingsNode node, String field) {
        node.addError(field, "a number from 0", "nothing", "Set it.");
        return 0;
    }

    private static Optional<Set<String>> texts(SettingsNode node, String field) {
        return node.has(field) ? Optional.of(Set.copyOf(node.texts(field))) : Optional.empty();
    }

    private static Optional<Integer> weight(SettingsNode node, String field) {
        return node.has(field)
                ? Optional.of(node.integer(field, 1, 1, MAX_WEIGHT))
                : Optional.empty();
    }

    private static void texts(ObjectNode node, String field, Collection<String> values) {
        new TreeSet<>(values).forEach(node.withArray("/" + field)::add);
    }

    private static String path(ConfigRef ref, String fieldPath) {
        return ref.kind().label() + "/" + ref.name() + (fieldPath.equals("/") ? "" : fieldPath);
    }
}
