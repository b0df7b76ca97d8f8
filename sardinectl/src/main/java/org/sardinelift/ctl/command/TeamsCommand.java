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

/** Shows the limits of each team: the values of its template, overridden by its own. */
public final class TeamsCommand extends Command {

    /** Creates the command. */
    public TeamsCommand() {
        super("teams", "", "show the limits of each team and the number of its valid keys");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        StoredConfig.Result read =
                StoredConfig.read(
                        context.objectStore(),
                        ConfigKind.TEMPLATE,
                        ConfigKind.TEAM,
                        ConfigKind.KEY);
        if (read instanceof StoredConfig.Result.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        return toOutcome(((StoredConfig.Result.Read) read).config());
    }

    private static Outcome toOutcome(StoredConfig config) {
        Map<String, Long> keys =
                items(config, ConfigKind.KEY, KeyEntry.class).stream()
                        .filter(key -> !key.isWithdrawn())
                        .collect(Collectors.groupingBy(KeyEntry::team, Collectors.counting()));
        ObjectNode json = Json.newObject();
        ArrayNode list = json.putArray("teams");
        TextTable table =
                TextTable.withColumns(
                        "TEAM", "TEMPLATE", "RATE/S", "BURST", "ONLINE", "BATCH", "KEYS", "MODELS");
        for (TeamSpec team : items(config, ConfigKind.TEAM, TeamSpec.class)) {
            long count = keys.getOrDefault(team.name(), 0L);
            ObjectNode node = list.addObject().put("name", team.name());
            node.put("template", team.template()).put("keys", count);
            Optional<TeamPlan> plan = template(config, team).map(team::resolve);
            plan.ifPresent(teamPlan -> putLimits(node, teamPlan));
            table.addRow(
                    team.name(),
                    team.template() + (plan.isEmpty() ? " (missing)" : ""),
                    plan.map(teamPlan -> String.valueOf(teamPlan.ratePerSecond())).orElse("-"),
                    plan.map(teamPlan -> String.valueOf(teamPlan.burst())).orElse("-"),
                    plan.map(teamPlan -> String.valueOf(teamPlan.onlineWeight())).orElse("-"),
                    plan.map(teamPlan -> String.valueOf(teamPlan.batchWeight())).orElse("-"),
                    String.valueOf(count),
                    plan.map(teamPlan -> String.join(",", new TreeSet<>(teamPlan.models())))
                            .orElse("-"));
        }
        return Outcome.ok(json, table.toString());
    }

    private static void putLimits(ObjectNode node, TeamPlan teamPlan) {
        node.put("ratePerSecond", teamPlan.ratePerSecond())
                .put("burst", teamPlan.burst())
                .put("onlineWeight", teamPlan.onlineWeight())
                .put("batchWeight", teamPlan.batchWeight());
        new TreeSet<>(teamPlan.models()).forEach(node.withArray("/models")::add);
        new TreeSet<>(teamPlan.services()).forEach(node.withArray("/services")::add);
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
                        instanceof DecodeResult.Valid<ConfigItem> valid
                ? Optional.of(valid.item()).filter(type::isInstance).map(type::cast)
                : Optional.empty();
    }
}
