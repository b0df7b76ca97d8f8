package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.config.WriteOutcome;

/** Creates outcomes of commands on stored objects. */
final class StoreOutcomes {
    private StoreOutcomes() {}

    static Outcome unavailable(String reason) {
        return Outcome.failed(
                ExitCode.UNREACHABLE,
                "The configuration can't be read: " + reason,
                "Check --platform and try again; nothing was written.");
    }

    static Outcome invalid(List<ConfigProblem> problems) {
        ObjectNode json = Json.newObject().put("error", "invalid");
        ArrayNode list = json.putArray("problems");
        problems.forEach(
                problem ->
                        list.addObject()
                                .put("path", problem.path())
                                .put("expected", problem.expected())
                                .put("found", problem.found())
                                .put("remedy", problem.remedy()));
        String text =
                problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n"));
        return new Outcome(ExitCode.INVALID, json, text + "\nNothing was written.");
    }

    static Outcome written(List<WriteOutcome> outcomes) {
        ObjectNode json = Json.newObject();
        ArrayNode list = json.putArray("objects");
        outcomes.forEach(outcome -> list.add(outcome.toJson()));
        String text =
                outcomes.stream()
                        .map(
                                outcome ->
                                        outcome.ref().kind().label()
                                                + "/"
                                                + outcome.ref().name()
                                                + ": "
                                                + outcome.text())
                        .collect(Collectors.joining("\n"));
        ExitCode worstCode =
                outcomes.stream()
                        .map(WriteOutcome::code)
                        .max(Comparator.comparingInt(ExitCode::status))
                        .orElse(ExitCode.OK);
        return new Outcome(worstCode, json, text);
    }
}
