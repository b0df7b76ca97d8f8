package org.sardinelift.entry.filter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.sardinelift.core.outcome.IdempotencyRecord;

/** Writes and reads idempotency records as JSON. */
final class IdempotencyCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private IdempotencyCodec() {}

    static String write(IdempotencyRecord record) {
        return MAPPER.createObjectNode()
                .put("mark", record.intentId())
                .put("fingerprint", record.fingerprint())
                .put("state", record.state().name())
                .put("untilMs", record.giveUpAtMs())
                .put("status", record.status())
                .put("contentType", record.contentType())
                .put("body", record.body())
                .put("bodyKept", record.isBodyKept())
                .toString();
    }

    static Optional<IdempotencyRecord> read(String json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return Optional.of(
                    new IdempotencyRecord(
                            node.path("mark").asText(),
                            node.path("fingerprint").asText(),
                            IdempotencyRecord.State.valueOf(node.path("state").asText()),
                            node.path("untilMs").asLong(),
                            node.path("status").asInt(),
                            node.path("contentType").asText(),
                            node.path("body").binaryValue(),
                            node.path("bodyKept").asBoolean()));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
