package org.sardinelift.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Reads and writes JSON; comments and trailing commas are accepted, duplicate fields are not. */
public final class Json {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /**
     * Creates an empty array.
     *
     * @return the array
     */
    public static ArrayNode newArray() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses JSON with comments.
     *
     * @param text JSON text
     * @return the root
     * @throws JsonProcessingException if the text is malformed; its location says where
     */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /**
     * Parses JSON that may be malformed.
     *
     * @param text JSON text
     * @return the root, or a missing node if the text is not JSON
     */
    public static JsonNode parseOrMissing(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * Returns the elements of an array.
     *
     * @param array the array; any other node has no elements
     * @return the elements in order
     */
    public static Stream<JsonNode> elements(JsonNode array) {
        return array.isArray() ? StreamSupport.stream(array.spliterator(), false) : Stream.empty();
    }
}
