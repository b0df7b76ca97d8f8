package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.ConfigEntry;
import org.sardinelift.ctl.config.ConfigFile;
import org.sardinelift.ctl.config.ObjectDiff;
import org.sardinelift.ctl.config.StoredConfig;

/** Shows what applying a file would change. */
public final class DiffCommand extends Command {

    /** Creates the command. */
    public DiffCommand() {
        super("diff", "", "show what applying a file would change");
    }

    @Override
    public Options options() {
        return CommonOptions.platform()
                .addOption(
                        shortOption(
                                "f", "FILE", "file of objects, - for standard input, required"));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        ConfigFile file = ConfigFile.parse(context.readText(context.requiredOption("f")));
        if (!file.problems().isEmpty()) {
            return StoreOutcomes.invalid(file.problems());
        }
        StoredConfig.Result read =
                StoredConfig.read(
                        context.objectStore(),
                        ConfigKind.TEMPLATE,
                        ConfigKind.TEAM,
                        ConfigKind.SERVICE);
        if (read instanceof StoredConfig.Result.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        return compare(((StoredConfig.Result.Read) read).config(), file.entries());
    }

    private static Outcome compare(StoredConfig config, List<ConfigEntry> entries) {
        ObjectNode json = Json.newObject();
        ArrayNode list = json.putArray("objects");
        List<String> lines = new ArrayList<>();
        for (ConfigEntry entry : entries) {
            var stored = config.find(entry.ref());
            ObjectDiff diff =
                    ObjectDiff.between(
                            stored.map(StoredConfig::parseValue).orElseGet(Json::newObject),
                            entry.isDeletion() ? Json.newObject() : entry.value());
            String action =
                    entry.isDeletion()
                            ? (stored.isPresent() ? "delete" : "none")
                            : stored.isEmpty() ? "create" : diff.isEmpty() ? "none" : "change";
            ObjectNode node =
                    list.addObject()
                            .put("kind", entry.ref().kind().label())
                            .put("name", entry.ref().name())
                            .put("action", action);
            node.set("changes", diff.toJson());
            if (!action.equals("none")) {
                lines.add(
                        action
                                + " "
                                + entry.ref().kind().label()
                                + "/"
                                + entry.ref().name()
                                + ": "
                                + diff);
            }
        }
        return Outcome.ok(json, lines.isEmpty() ? "nothing to change" : String.join("\n", lines));
    }
}
