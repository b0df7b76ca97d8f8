package org.sardinelift.entry.batch;

import static java.util.stream.Collectors.joining;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.poison.Fingerprint;

/** Parses one line of a job and finds the service that runs it. */
final class ItemParser {
    private static final String PLAIN_SERVICE_PREFIX = "/services/";
    private static final Set<String> ENGINE_PATHS =
            Set.of("/v1/chat/completions", "/v1/completions");
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
    private static final int MAX_CUSTOM_ID_CHARS = 256;
    private static final int PROMPT_PREFIX_CHARS = 256;

    private final Catalog catalog;
    private final TeamPlan team;

    ItemParser(Catalog catalog, TeamPlan team) {
        this.catalog = catalog;
        this.team = team;
    }

    /** Outcome of parsing a line. */
    sealed interface ParsedLine {
        /** A line that can be run. */
        record Valid(BatchItem item) implements ParsedLine {}

        /** A line that cannot be run, with the reason. */
        record Invalid(String customId, String reason) implements ParsedLine {}
    }

    ParsedLine parse(String line) {
        JsonNode node;
        try {
            node = BatchJson.parse(line);
        } catch (JsonProcessingException e) {
            return new ParsedLine.Invalid("", "not a JSON object: " + e.getOriginalMessage());
        }
        String customId = node.path("custom_id").asText("");
        return problem(node)
                .<ParsedLine>map(reason -> new ParsedLine.Invalid(customId, reason))
                .orElseGet(() -> route(customId, node, node.toString()));
    }

    private static Optional<String> problem(JsonNode node) {
        if (!node.isObject()) {
            return Optional.of("not a JSON object");
        }
        JsonNode id = node.path("custom_id");
        if (!id.isTextual() || id.asText().isEmpty()) {
            return Optional.of("custom_id must be a non-empty string");
        }
        if (id.asText().length() > MAX_CUSTOM_ID_CHARS) {
            return Optional.of("custom_id must not exceed " + MAX_CUSTOM_ID_CHARS + " characters");
        }
        if (!METHODS.contains(node.path("method").asText())) {
            return Optional.of(
                    "method must be one of " + METHODS.stream().sorted().collect(joining(", ")));
        }
        if (!node.path("url").asText().startsWith("/")) {
            return Optional.of("url must be a path that starts with /");
        }
        return Optional.empty();
    }

    private ParsedLine route(String customId, JsonNode node, String line) {
        String url = node.path("url").asText();
        if (url.startsWith(PLAIN_SERVICE_PREFIX)) {
            return parsePlain(customId, node, line, url);
        }
        if (!ENGINE_PATHS.contains(url) || !node.path("method").asText().equals("POST")) {
            return new ParsedLine.Invalid(
                    customId,
                    "url must be POST /v1/chat/completions, POST /v1/completions or"
                            + " /services/NAME/...");
        }
        return parseEngine(customId, node, line, url);
    }

    private ParsedLine parseEngine(String customId, JsonNode node, String line, String url) {
        JsonNode body = node.path("body");
        String model = body.path("model").asText("");
        Optional<ServiceSpec> service = catalog.serviceOfModel(model);
        if (!body.isObject() || model.isEmpty()) {
            return new ParsedLine.Invalid(customId, "body must be an object with a model");
        }
        if (body.path("stream").asBoolean(false)) {
            return new ParsedLine.Invalid(customId, "stream must be false in a batch");
        }
        if (service.isEmpty() || !team.models().contains(model)) {
            return new ParsedLine.Invalid(customId, "the team has no model " + model);
        }
        return new ParsedLine.Valid(
                new BatchItem(
                        customId,
                        "POST",
                        url,
                        service.get().name(),
                        model,
                        url,
                        body.toString(),
                        true,
                        promptPrefixGroup(model, body),
                        line));
    }

    private ParsedLine parsePlain(String customId, JsonNode node, String line, String url) {
        String rest = url.substring(PLAIN_SERVICE_PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        ServiceSpec service = catalog.services().get(name);
        if (service == null || service.isEngine() || !team.services().contains(name)) {
            return new ParsedLine.Invalid(customId, "the team has no service " + name);
        }
        String method = node.path("method").asText();
        JsonNode body = node.path("body");
        return new ParsedLine.Valid(
                new BatchItem(
                        customId,
                        method,
                        url,
                        name,
                        "",
                        slash < 0 ? "/" : rest.substring(slash),
                        body.isMissingNode() || body.isNull() ? "" : body.toString(),
                        service.repeatableMethods().contains(method),
                        "",
                        line));
    }

    private static String promptPrefixGroup(String model, JsonNode body) {
        String prompt = body.path(body.has("messages") ? "messages" : "prompt").toString();
        return prompt.length() < PROMPT_PREFIX_CHARS
                ? ""
                : Fingerprint.of(
                        "",
                        model,
                        prompt.substring(0, PROMPT_PREFIX_CHARS).getBytes(StandardCharsets.UTF_8));
    }
}
