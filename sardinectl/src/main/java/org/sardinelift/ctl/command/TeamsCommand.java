package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.catalog.TeamSpec;
import org.sardinelift.core.catalog.TeamTemplate;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.TextTable;
import org.sardinelift.ctl.config.StoredConfig;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.objects.kinds.DecodeResult;

/** Shows what each team is due: its template with its own values laid over it. */
public final class TeamsCommand extends Command {

    /** Makes the command. */
    public TeamsCommand() {
        super("teams", "", "show what each team is due, and its keys in force");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        StoredConfig.Result read =
                StoredConfig.read(
                        context.platform(), ConfigKind.TEMPLATE, ConfigKind.TEAM, ConfigKind.KEY);
        if (read instanceof StoredConfig.Result.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        return show(((StoredConfig.Result.Read) read).config());
    }

    private static Outcome show(StoredConfig config) {
        Map<String, Long> keys =
                items(config, ConfigKind.KEY, KeyEntry.class).stream()
                        .filter(key -> !key.isWithdrawn())
                        .collect(Collectors.groupingBy(KeyEntry::team, Collectors.counting()));
        ObjectNode json = Json.object();
        ArrayNode list = json.putArray("teams");
        TextTable table =
                TextTable.of(
                        "TEAM", "TEMPLATE", "RATE/S", "BURST", "ONLINE", "BATCH", "KEYS", "MODELS");
        for (TeamSpec team : items(config, ConfigKind.TEAM, TeamSpec.class)) {
            long count = keys.getOrDefault(team.name(), 0L);
            ObjectNode node = list.addObject().put("name", team.name());
            node.put("template", team.template()).put("keys", count);
            Optional<TeamPlan> plan = template(config, team).map(team::resolve);
            plan.ifPresent(due -> describe(node, due));
            table.row(
                    team.name(),
                    team.template() + (plan.isEmpty() ? " (missing)" : ""),
                    plan.map(due -> String.valueOf(due.ratePerSecond())).orElse("-"),
                    plan.map(due -> String.valueOf(due.burst())).orElse("-"),
                    plan.map(due -> String.valueOf(due.onlineWeight())).orElse("-"),
                    plan.map(due -> String.valueOf(due.batchWeight())).orElse("-"),
                    String.valueOf(count),
                    plan.map(due -> String.join(",", new TreeSet<>(due.models()))).orElse("-"));
        }
        return Outcome.ok(json, table.toString());
    }

    private static void describe(ObjectNode node, TeamPlan due) {
        node.put("ratePerSecond", due.ratePerSecond())
                .put("burst", due.burst())
                .put("onlineWeight", due.onlineWeight())
                .put("batchWeight", due.batchWeight());
        new TreeSet<>(due.models()).forEach(node.withArray("/models")::add);
        new TreeSet<>(due.services()).forEach(node.withArray("/services")::add);
    }

    private static Optional<TeamTemplate> template(StoredConfig config, TeamSpec team) {
        return config.find(new ConfigRef(ConfigKind.TEMPLATE, team.template()))
                .flatMap(object -> item(ConfigKind.TEMPLATE, object, TeamTemplate.class));
    }

    private static <T> List<T> items(StoredConfig config, ConfigKind kind, Class<T> type) {
        return config.list(kind).stream()
                .flatMap(object -> item(kind, object, type).stream())
                .toList();
    }

    private static <T> Optional<T> item(ConfigKind kind, StoredObject object, Class<T> type) {
        ConfigRef ref = new ConfigRef(kind, object.key().name());
        return ConfigCodec.decode(ref, object.value())
                        instanceof DecodeResult.Valid<ConfigItem> sound
                ? Optional.of(sound.item()).filter(type::isInstance).map(type::cast)
                : Optional.empty();
    }
}
