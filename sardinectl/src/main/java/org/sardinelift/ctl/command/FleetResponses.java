package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.CallResult;

/**
 * Answers of the instances named on the command line to one request.
 *
 * @param answers JSON answers by address
 * @param failures instances that refused or did not answer, with the reason
 */
record FleetResponses(Map<Address, JsonNode> answers, Map<Address, String> failures) {

    static FleetResponses callAll(CommandContext context, String method, String uri)
            throws ParseException {
        Map<Address, JsonNode> answers = new LinkedHashMap<>();
        Map<Address, String> failures = new LinkedHashMap<>();
        for (Address address : context.operatorAddresses()) {
            CallResult result = context.client().call(address, method, uri, Map.of(), "");
            if (result instanceof CallResult.Answered answered) {
                answers.put(address, answered.json());
            } else {
                failures.put(address, CallResult.failureOutcome(result, address).text());
            }
        }
        return new FleetResponses(answers, failures);
    }

    /** Returns an outcome that names the failed instances; it is a failure if none answered. */
    Outcome toOutcome(ObjectNode json, String text) {
        ArrayNode failed = json.putArray("silent");
        failures.forEach(
                (address, reason) ->
                        failed.addObject()
                                .put("address", address.toString())
                                .put("reason", reason));
        String fullText =
                failures.isEmpty()
                        ? text
                        : text
                                + "\n"
                                + failures.values().stream().collect(Collectors.joining("\n"));
        return new Outcome(answers.isEmpty() ? ExitCode.UNREACHABLE : ExitCode.OK, json, fullText);
    }

    /** Returns all answers, with the addresses of the instances. */
    ObjectNode toJson() {
        ObjectNode json = Json.newObject();
        ArrayNode list = json.putArray("instances");
        answers.forEach(
                (address, answer) ->
                        list.addObject().put("address", address.toString()).set("answer", answer));
        return json;
    }
}
