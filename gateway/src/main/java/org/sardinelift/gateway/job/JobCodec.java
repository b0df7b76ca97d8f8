package org.sardinelift.gateway.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.RecordEntry;

/** Encodes and decodes the stored objects of a job. */
final class JobCodec {
    /** Largest size of a part of a document, and of the results of a record, bytes as stored. */
    static final int MAX_PART_BYTES = 400_000;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private JobCodec() {}

    /**
     * The object whose creation makes a job accepted.
     *
     * @param team team that it runs for
     * @param route name of the route that it was submitted by
     * @param host host header of the submission
     * @param submittedMs when it was accepted, Unix milliseconds
     * @param parts number of part objects, which hold the beginning of the document
     * @param document rest of the document that the caller sent
     */
    record Header(
            String team, String route, String host, long submittedMs, int parts, String document) {}

    static String encodeHeader(Header header) {
        return MAPPER.createObjectNode()
                .put("team", header.team())
                .put("route", header.route())
                .put("host", header.host())
                .put("submittedMs", header.submittedMs())
                .put("parts", header.parts())
                .put("document", header.document())
                .toString();
    }

    static Header decodeHeader(String value) {
        JsonNode node = parseJson(value);
        return new Header(
                node.path("team").asText(),
                node.path("route").asText(),
                node.path("host").asText(),
                node.path("submittedMs").asLong(),
                node.path("parts").asInt(),
                node.path("document").asText());
    }

    static String encodeRecord(List<RecordEntry> entries) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode array = root.putArray("results");
        entries.forEach(entry -> encodeEntry(entry, array.addObject()));
        return root.toString();
    }

    private static void encodeEntry(RecordEntry entry, ObjectNode node) {
        ItemResult result = entry.result();
        node.put("id", result.itemId())
                .put("outcome", result.outcome().name())
                .put("output", result.output());
        if (!entry.series().isEmpty()) {
            node.put("series", entry.series()).put("last", entry.isLast());
        }
    }

    static List<RecordEntry> decodeRecord(String value) {
        List<RecordEntry> entries = new ArrayList<>();
        parseJson(value)
                .path("results")
                .forEach(
                        node ->
                                entries.add(
                                        new RecordEntry(
                                                new ItemResult(
                                                        node.path("id").asText(),
                                                        ItemResult.Outcome.valueOf(
                                                                node.path("outcome").asText()),
                                                        node.path("output").asText()),
                                                node.path("series").asText(),
                                                node.path("last").asBoolean(true))));
        return entries;
    }

    private static JsonNode parseJson(String value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            if (!node.isObject()) {
                throw new IllegalArgumentException("not a JSON object");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }
}
