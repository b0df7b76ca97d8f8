package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.TextTable;

/** Shows the state of the targets at each entry. */
public final class TargetsCommand extends Command {

    /** Creates the command. */
    public TargetsCommand() {
        super("targets", "", "show the state of the targets at each entry");
    }

    @Override
    public Options options() {
        return CommonOptions.operators();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        FleetResponses responses = FleetResponses.callAll(context, "GET", "/targets");
        return responses.toOutcome(responses.toJson(), table(responses).toString());
    }

    static TextTable table(FleetResponses responses) {
        TextTable table =
                TextTable.withColumns(
                        "SEEN BY",
                        "TARGET",
                        "SERVICE",
                        "ZONE",
                        "SLOTS",
                        "IN FLIGHT",
                        "REPORTED",
                        "USABLE",
                        "STATE");
        responses
                .answers()
                .values()
                .forEach(
                        answer ->
                                Json.elements(answer.path("targets"))
                                        .forEach(target -> addTarget(table, answer, target)));
        return table;
    }

    private static void addTarget(TextTable table, JsonNode answer, JsonNode target) {
        table.addRow(
                answer.path("instance").asText(),
                target.path("companion").asText(),
                target.path("service").asText(),
                target.path("zone").asText(),
                target.path("slots").asText(),
                target.path("inFlight").asText(),
                target.path("reported").asText(),
                target.path("usable").asText(),
                target.path("admission").asText());
    }
}
