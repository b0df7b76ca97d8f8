package org.sardinelift.entry.filter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.sardinelift.core.poison.Fingerprint;

/**
 * The parts of a request to a model that the entry uses.
 *
 * @param model model or adapter
 * @param prefixKey key equal for prompts with a common prefix
 */
record ModelRequest(String model, String prefixKey) {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    /** Outcome of parsing. */
    sealed interface Result {}

    /**
     * A valid request.
     *
     * @param request the parsed request
     */
    record Parsed(ModelRequest request) implements Result {}

    /**
     * A request that no engine could run.
     *
     * @param detail what was wrong
     */
    record Malformed(String detail) implements Result {}

    static Result parse(byte[] body, boolean chat, int prefixChars) {
        String text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            return new Malformed("the body is not UTF-8");
        }
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return new Malformed("the body is not JSON: " + e.getOriginalMessage());
        }
        return validate(root, chat, prefixChars);
    }

    private static Result validate(JsonNode root, boolean chat, int prefixChars) {
        if (!root.isObject()) {
            return new Malformed("the body is not a JSON object");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            return new Malformed("/model must be a non-empty string");
        }
        JsonNode prompt = root.path(chat ? "messages" : "prompt");
        if (chat && (!prompt.isArray() || prompt.isEmpty())) {
            return new Malformed("/messages must be a non-empty array");
        }
        if (!chat && !prompt.isTextual() && !prompt.isArray()) {
            return new Malformed("/prompt must be a string or an array");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            return new Malformed("/stream must be true or false");
        }
        JsonNode tokens = root.path("max_tokens");
        boolean absent = tokens.isMissingNode() || tokens.isNull();
        if (!absent && (!tokens.isIntegralNumber() || tokens.asLong() < 1)) {
            return new Malformed("/max_tokens must be a whole number from 1");
        }
        String promptText = prompt.toString();
        String prefix = promptText.substring(0, Math.min(prefixChars, promptText.length()));
        return new Parsed(
                new ModelRequest(
                        model.asText(),
                        Fingerprint.of(
                                "", model.asText(), prefix.getBytes(StandardCharsets.UTF_8))));
    }
}
