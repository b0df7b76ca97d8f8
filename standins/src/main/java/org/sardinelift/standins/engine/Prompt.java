package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import org.sardinelift.standins.Json;

/**
 * Parsed completion request.
 *
 * @param chat whether it is a chat request
 * @param model requested model
 * @param text the prompt; for a chat, its messages as lines {@code role: content}
 * @param maxTokens number of tokens to generate
 * @param stream whether the answer is streamed
 */
public record Prompt(boolean chat, String model, String text, int maxTokens, boolean stream) {
    private static final int CHARS_PER_TOKEN = 4;

    static Prompt of(boolean chat, JsonNode body, int defaultTokens) {
        String text =
                chat
                        ? Json.elements(body.path("messages"))
                                .map(Prompt::line)
                                .collect(Collectors.joining("\n"))
                        : body.path("prompt").asText();
        int tokens = body.path("max_tokens").asInt(defaultTokens);
        return new Prompt(
                chat,
                body.path("model").asText(),
                text,
                Math.max(1, tokens),
                body.path("stream").asBoolean());
    }

    /**
     * Returns the length of the prompt in tokens.
     *
     * @return number of tokens, four characters each
     */
    public int tokens() {
        return Math.max(1, (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
    }

    private static String line(JsonNode message) {
        return message.path("role").asText() + ": " + message.path("content").asText();
    }
}
