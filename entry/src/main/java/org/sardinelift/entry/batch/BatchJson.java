package org.sardinelift.entry.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.RemovalStage;

/** JSON encoding of the objects that batch work stores in the platform. */
public final class BatchJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private BatchJson() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(String json) throws JsonProcessingException {
        return MAPPER.readTree(json);
    }

    static String header(JobHeader header) {
        ObjectNode node = newObject();
        node.put("id", header.id()).put("team", header.team()).put("jobKey", header.jobKey());
        node.put("digest", header.digest()).put("createdMs", header.createdMs());
        node.put("dueMs", header.dueMs()).put("chunkSet", header.chunkSet());
        node.put("stage", header.stage().name()).put("stageMs", header.stageMs());
        ArrayNode chunks = node.putArray("chunkItems");
        header.chunkItems().forEach(chunks::add);
        return node.toString();
    }

    static JobHeader header(String json) {
        JsonNode node = parseStored(json);
        List<Integer> chunks = new ArrayList<>();
        node.path("chunkItems").forEach(chunk -> chunks.add(chunk.asInt()));
        String id = node.path("id").asText();
        String digest = node.path("digest").asText();
        return new JobHeader(
                id,
                node.path("team").asText(),
                node.path("jobKey").asText(),
                digest,
                chunks,
                node.path("createdMs").asLong(),
                node.path("dueMs").asLong(),
                node.path("chunkSet").asText(JobHeader.defaultChunkSet(id, digest)),
                RemovalStage.valueOf(node.path("stage").asText(RemovalStage.LIVE.name())),
                node.path("stageMs").asLong());
    }

    /**
     * Encodes the state of a job.
     *
     * @param state the state
     * @return value of its object of kind {@code job-state}
     */
    public static String state(JobState state) {
        ObjectNode node = newObject();
        node.put("team", state.team()).put("items", state.items());
        node.put("chunkCount", state.chunkCount()).put("phase", state.phase().name());
        node.put("fence", state.fence()).put("holder", state.holder().instance());
        node.put("holderIncarnation", state.holder().incarnation());
        node.put("expectedEndMs", state.expectedEndMs());
        ObjectNode chunks = node.putObject("chunks");
        state.chunks()
                .forEach((number, result) -> chunks.set(String.valueOf(number), result(result)));
        ObjectNode intents = node.putObject("intents");
        state.intents().forEach((number, fence) -> intents.put(String.valueOf(number), fence));
        return node.toString();
    }

    private static ObjectNode result(ChunkResult result) {
        return newObject()
                .put("mark", result.writeId())
                .put("parts", result.parts())
                .put("completed", result.completed())
                .put("failed", result.failed())
                .put("cancelled", result.cancelled());
    }

    static JobState state(String json) {
        JsonNode node = parseStored(json);
        SortedMap<Integer, ChunkResult> chunks = new TreeMap<>();
        node.path("chunks")
                .properties()
                .forEach(
                        chunk ->
                                chunks.put(
                                        Integer.valueOf(chunk.getKey()), result(chunk.getValue())));
        SortedMap<Integer, Long> intents = new TreeMap<>();
        node.path("intents")
                .properties()
                .forEach(
                        intent ->
                                intents.put(
                                        Integer.valueOf(intent.getKey()),
                                        intent.getValue().asLong()));
        return new JobState(
                node.path("team").asText(),
                node.path("items").asInt(),
                node.path("chunkCount").asInt(),
                JobPhase.valueOf(node.path("phase").asText()),
                node.path("fence").asLong(),
                new Holder(node.path("holder").asText(), node.path("holderIncarnation").asText()),
                chunks,
                intents,
                node.path("expectedEndMs").asLong());
    }

    private static ChunkResult result(JsonNode node) {
        return new ChunkResult(
                node.path("mark").asText(),
                node.path("parts").asInt(),
                node.path("completed").asInt(),
                node.path("failed").asInt(),
                node.path("cancelled").asInt());
    }

    /** Parses the value of an object that this system wrote. */
    static JsonNode parseStored(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a stored batch object is not valid JSON", e);
        }
    }
}
