package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.sardinelift.standins.Json;

/** Shapes of an answer. */
enum AnswerForm {
    /** One JSON body at the end. */
    WHOLE("application/json") {
        @Override
        byte[] token(String id, Prompt prompt, String token, int count) {
            return NOTHING;
        }

        @Override
        byte[] end(String id, Prompt prompt, String text) {
            ObjectNode body = base(id, prompt, prompt.chat() ? "chat.completion" : COMPLETION);
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
    /** Server-sent events, one for each token. */
    STREAM("text/event-stream") {
        @Override
        byte[] token(String id, Prompt prompt, String token, int count) {
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
        byte[] end(String id, Prompt prompt, String text) {
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

    private static final byte[] NOTHING = {};
    private static final String COMPLETION = "text_completion";

    private final String contentType;

    AnswerForm(String contentType) {
        this.contentType = contentType;
    }

    static AnswerForm of(Prompt prompt) {
        return prompt.stream() ? STREAM : WHOLE;
    }

    String contentType() {
        return contentType;
    }

    /** What is written for one token; the count includes it. */
    abstract byte[] token(String id, Prompt prompt, String token, int count);

    /** What is written after the last token. */
    abstract byte[] end(String id, Prompt prompt, String text);

    private static ObjectNode event(String id, Prompt prompt) {
        return base(id, prompt, prompt.chat() ? "chat.completion.chunk" : COMPLETION);
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
