package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.StoredConfig;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.kinds.ConfigCodec;

/** Prints configuration objects in the format that {@code apply} reads. */
public final class GetCommand extends Command {

    /** Creates the command. */
    public GetCommand() {
        super("get", "[KIND[/NAME]]", "print objects with their versions, as apply reads them");
    }

    @Override
    public Options options() {
        return CommonOptions.platform();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        List<String> arguments = context.line().getArgList();
        String[] kindAndName = (arguments.isEmpty() ? "" : arguments.get(0)).split("/", 2);
        ConfigKind[] kinds = kinds(kindAndName[0]);
        StoredConfig.Result read = StoredConfig.read(context.objectStore(), kinds);
        if (read instanceof StoredConfig.Result.Unavailable unavailable) {
            return StoreOutcomes.unavailable(unavailable.reason());
        }
        StoredConfig config = ((StoredConfig.Result.Read) read).config();
        List<StoredObject> objects =
                Stream.of(kinds)
                        .flatMap(kind -> config.list(kind).stream())
                        .filter(
                                object ->
                                        kindAndName.length < 2
                                                || object.key().name().equals(kindAndName[1]))
                        .toList();
        if (objects.isEmpty() && kindAndName.length == 2) {
            return Outcome.failed(
                    ExitCode.REFUSED,
                    "There is no " + arguments.get(0),
                    "List the names with get " + kindAndName[0] + ".");
        }
        ObjectNode json = Json.newObject();
        ArrayNode list = json.putArray("objects");
        objects.forEach(object -> list.add(toEntry(object)));
        return Outcome.ok(json, json.toPrettyString());
    }

    private static ConfigKind[] kinds(String label) throws ParseException {
        if (label.isEmpty()) {
            return new ConfigKind[] {ConfigKind.TEMPLATE, ConfigKind.TEAM, ConfigKind.SERVICE};
        }
        return ConfigKind.of(label)
                .map(kind -> new ConfigKind[] {kind})
                .orElseThrow(
                        () ->
                                new ParseException(
                                        "expected template, team, key or service, found " + label));
    }

    private static ObjectNode toEntry(StoredObject object) {
        ObjectNode value = StoredConfig.parseValue(object);
        value.remove(ConfigCodec.WRITE_MARK_FIELD);
        ObjectNode node =
                Json.newObject()
                        .put("kind", object.key().kind())
                        .put("name", object.key().name())
                        .put("version", object.version());
        node.set("value", value);
        return node;
    }
}
