package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.CallResult;

/** Asks a model one question and prints the answer as it arrives. */
public final class AskCommand extends Command {
    private static final String DATA_PREFIX = "data: ";
    private static final String END_MARKER = "[DONE]";

    /** Creates the command. */
    public AskCommand() {
        super("ask", "QUESTION", "ask a model one question and print the answer as it arrives");
    }

    @Override
    public Options options() {
        return CommonOptions.caller()
                .addOption(longOption("model", "MODEL", "model to ask, required"))
                .addOption(longOption("max-tokens", "N", "longest answer in tokens"));
    }

    @Override
    public Outcome run(CommandContext context) throws ParseException {
        Address entry = context.entryAddress();
        boolean printsTokens = !context.isJsonOutput();
        StringBuilder text = new StringBuilder();
        AtomicBoolean isComplete = new AtomicBoolean();
        CallResult result =
                context.client()
                        .streamLines(
                                entry,
                                "/v1/chat/completions",
                                context.authorizationHeader(),
                                requestBody(context).toString(),
                                line -> {
                                    if (line.equals(DATA_PREFIX + END_MARKER)) {
                                        isComplete.set(true);
                                        return;
                                    }
                                    String token = token(line);
                                    text.append(token);
                                    if (printsTokens) {
                                        context.out().print(token);
                                        context.out().flush();
                                    }
                                });
        if (!(result instanceof CallResult.Answered)) {
            return CallResult.failureOutcome(result, entry);
        }
        if (!isComplete.get()) {
            return Outcome.failed(
                    ExitCode.UNREACHABLE,
                    "The answer of " + entry + " ended before it was complete",
                    "Ask again.");
        }
        return Outcome.ok(Json.newObject().put("answer", text.toString()), "");
    }

    private static ObjectNode requestBody(CommandContext context) throws ParseException {
        ObjectNode body =
                Json.newObject().put("model", context.requiredOption("model")).put("stream", true);
        int maxTokens = context.intOption("max-tokens", 0);
        if (maxTokens > 0) {
            body.put("max_tokens", maxTokens);
        }
        body.putArray("messages")
                .addObject()
                .put("role", "user")
                .put("content", context.argument(0, "QUESTION"));
        return body;
    }

    private static String token(String line) {
        if (!line.startsWith(DATA_PREFIX)) {
            return "";
        }
        JsonNode event = Json.parseOrMissing(line.substring(DATA_PREFIX.length()));
        return event.at("/choices/0/delta/content").asText("");
    }
}
