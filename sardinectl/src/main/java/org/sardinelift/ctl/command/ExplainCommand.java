package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.TextTable;

/** Shows the decisions about a request, job, target or team, with reasons, in order of time. */
public final class ExplainCommand extends Command {

    /** Creates the command. */
    public ExplainCommand() {
        super("explain", "REQUEST|JOB|TARGET|TEAM", "show the decisions about it, with reasons");
    }

    @Override
    public Options options() {
        return CommonOptions.operators();
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        String subject = context.argument(0, "REQUEST|JOB|TARGET|TEAM");
        FleetResponses responses =
                FleetResponses.callAll(
                        context, "GET", "/explain?subject=" + EntryCalls.urlEncode(subject));
        List<JsonNode> timeline =
                responses.answers().values().stream()
                        .flatMap(answer -> Json.elements(answer.path("decisions")))
                        .distinct()
                        .sorted(Comparator.comparingLong(each -> each.path("timeMs").asLong()))
                        .toList();
        List<String> unheard = unheard(responses);
        ObjectNode json = Json.newObject().put("subject", subject);
        ArrayNode list = json.putArray("decisions");
        timeline.forEach(list::add);
        unheard.forEach(json.putArray("unheard")::add);
        String text =
                timeline.isEmpty()
                        ? "no decisions are known about " + subject
                        : table(timeline).toString();
        return responses.toOutcome(json, text + missingNotes(unheard));
    }

    /** Instances that entries asked and that answered none of them. */
    private static List<String> unheard(FleetResponses responses) {
        Set<String> answered = instanceNames(responses, "answered").collect(Collectors.toSet());
        return instanceNames(responses, "silent")
                .filter(name -> !answered.contains(name))
                .distinct()
                .sorted()
                .toList();
    }

    private static Stream<String> instanceNames(FleetResponses responses, String field) {
        return responses.answers().values().stream()
                .flatMap(answer -> Json.elements(answer.path(field)))
                .map(JsonNode::asText);
    }

    private static String missingNotes(List<String> unheard) {
        return unheard.stream()
                .map(name -> "\nno answer from " + name + "; its decisions are not shown")
                .collect(Collectors.joining());
    }

    private static TextTable table(List<JsonNode> timeline) {
        TextTable table =
                TextTable.withColumns("TIME", "INSTANCE", "SUBJECT", "ACTION", "REASON", "FIGURES");
        timeline.forEach(
                decision ->
                        table.addRow(
                                Instant.ofEpochMilli(decision.path("timeMs").asLong()).toString(),
                                decision.path("instance").asText(),
                                decision.path("subject").asText(),
                                decision.path("action").asText(),
                                decision.path("reason").asText(),
                                figures(decision.path("figures"))));
        return table;
    }

    private static String figures(JsonNode figures) {
        return figures.properties().stream()
                .map(figure -> figure.getKey() + "=" + figure.getValue().asText())
                .collect(Collectors.joining(" "));
    }
}
