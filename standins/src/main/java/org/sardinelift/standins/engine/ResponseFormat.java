package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.sardinelift.standins.Json;

/** Formats in which a completion is returned. */
enum ResponseFormat {
    /** One JSON document after the last token. */
    WHOLE("application/json") {
        @Override
        byte[] encodeToken(String id, Prompt prompt, String token, int count) {
            return EMPTY;
        }

        @Override
        byte[] encodeEnd(String id, Prompt prompt, String text) {
            ObjectNode body =
                    base(id, prompt, prompt.chat() ? "chat.completion" : COMPLETION_OBJECT);
            ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
            if (prompt.chat()) {
                choice.putObject("message").put("role", "assistant").put("content", text);
            } else {
                choice.put("text", text);
            }
            choice.put("finish_reason", "stop");
            body.set("usage", usage(prompt));
            return bytes(body.toString());
        }
    },
    /** Server-sent events, one per token. */
    STREAM("text/event-stream") {
        @Override
        byte[] encodeToken(String id, Prompt prompt, String token, int count) {
            ObjectNode event = event(id, prompt);
            ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
            if (prompt.chat()) {
                ObjectNode delta = choice.putObject("delta");
                if (count == 1) {
                    delta.put("role", "assistant");
                }
                delta.put("content", token);
            } else {
                choice.put("text", token);
            }
            choice.putNull("finish_reason");
            return bytes("data: " + event + "\n\n");
        }

        @Override
        byte[] encodeEnd(String id, Prompt prompt, String text) {
            ObjectNode event = event(id, prompt);
            ObjectNode choice = event.putArray("choices").addObject().put("index", 0);
            if (prompt.chat()) {
                choice.putObject("delta");
            } else {
                choice.put("text", "");
            }
            choice.put("finish_reason", "stop");
            event.set("usage", usage(prompt));
            return bytes("data: " + event + "\n\ndata: [DONE]\n\n");
        }
    };

    private static final byte[] EMPTY = {};
    private static final String COMPLETION_OBJECT = "text_completion";

    private final String contentType;

    ResponseFormat(String contentType) {
        this.contentType = contentType;
    }

    static ResponseFormat of(Prompt prompt) {
        return prompt.stream() ? STREAM : WHOLE;
    }

    String contentType() {
        return contentType;
    }

    /** Encodes one token; the count includes it. */
    abstract byte[] encodeToken(String id, Prompt prompt, String token, int count);

    /** Encodes what follows the last token; the text is that of all tokens. */
    abstract byte[] encodeEnd(String id, Prompt prompt, String text);

    private static ObjectNode event(String id, Prompt prompt) {
        return base(id, prompt, prompt.chat() ? "chat.completion.chunk" : COMPLETION_OBJECT);
    }

    private static ObjectNode base(String id, Prompt prompt, String object) {
        return Json.object()
                .put("id", (prompt.chat() ? "chatcmpl-" : "cmpl-") + id)
                .put("object", object)
                .put("created", Instant.now().getEpochSecond())
                .put("model", prompt.model());
    }

    private static ObjectNode usage(Prompt prompt) {
        return Json.object()
                .put("prompt_tokens", prompt.tokens())
                .put("completion_tokens", prompt.maxTokens())
                .put("total_tokens", prompt.tokens() + prompt.maxTokens());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
