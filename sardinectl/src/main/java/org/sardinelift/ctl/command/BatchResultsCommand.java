package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.CallResult;

/** Prints the results of a job so far as JSON lines, in the order of its items. */
public final class BatchResultsCommand extends Command {

    /** Creates the command. */
    public BatchResultsCommand() {
        super("batch results", "JOB", "print the results so far as JSON lines");
    }

    @Override
    public Options options() {
        return CommonOptions.caller();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String job = EntryCalls.urlEncode(context.argument(0, "JOB"));
        Address entry = context.entryAddress();
        CallResult result =
                context.client()
                        .call(
                                entry,
                                "GET",
                                "/v1/batches/" + job + "/results",
                                context.authorizationHeader(),
                                "");
        if (!(result instanceof CallResult.Answered answered)) {
            return CallResult.failureOutcome(result, entry);
        }
        ObjectNode json = Json.newObject();
        ArrayNode results = json.putArray("results");
        answered.text()
                .lines()
                .filter(line -> !line.isBlank())
                .forEach(line -> results.add(Json.parseOrMissing(line)));
        return Outcome.ok(json, answered.text().stripTrailing());
    }
}
