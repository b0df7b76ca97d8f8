package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.resume.RecordedVersions.Known;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.StoredObject;

/** JSON form in which instances exchange stored objects while the store is unavailable. */
final class SnapshotJson {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private SnapshotJson() {}

    static byte[] write(TargetFeed.Snapshot snapshot, Optional<Known> versions) {
        ObjectNode root = MAPPER.createObjectNode();
        long ageNanos = System.nanoTime() - snapshot.readAt();
        root.put("revision", snapshot.revision());
        root.put("changed", snapshot.changedRevision());
        root.put("ageMs", TimeUnit.NANOSECONDS.toMillis(ageNanos));
        ArrayNode objects = root.putArray("objects");
        snapshot.objects()
                .forEach(
                        object ->
                                objects.addObject()
                                        .put("kind", object.key().kind())
                                        .put("name", object.key().name())
                                        .put("version", object.version())
                                        .put("revision", object.revision())
                                        .put("value", object.value()));
        versions.ifPresent(known -> write(known, root.putObject("recorded")));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void write(Known known, ObjectNode node) {
        long ageNanos = System.nanoTime() - known.at();
        // Rounded up, so that the record doesn't look newer than it is.
        node.put("ageMs", TimeUnit.NANOSECONDS.toMillis(ageNanos) + 1);
        node.put("version", known.objectVersion());
        VersionRecordJson.write(known.record(), node.putArray("versions"));
    }

    /** Reads the record of software versions, if the peer knows it. */
    static Optional<Known> readVersions(String text, long requestedAt)
            throws JsonProcessingException {
        JsonNode node = MAPPER.readTree(text).path("recorded");
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(node.path("ageMs").asLong());
        return node.path("ageMs").isIntegralNumber() && node.path("version").isIntegralNumber()
                ? VersionRecordJson.read(node.path("versions"))
                        .map(
                                record ->
                                        new Known(
                                                record,
                                                node.path("version").asLong(),
                                                requestedAt - ageNanos))
                : Optional.empty();
    }

    static TargetFeed.Snapshot read(String text, long receivedAt) throws JsonProcessingException {
        JsonNode root = MAPPER.readTree(text);
        List<StoredObject> objects = new ArrayList<>();
        root.path("objects")
                .forEach(
                        node ->
                                objects.add(
                                        new StoredObject(
                                                new ObjectKey(
                                                        node.path("kind").asText(),
                                                        node.path("name").asText()),
                                                node.path("version").asLong(),
                                                node.path("revision").asLong(),
                                                node.path("value").asText())));
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(root.path("ageMs").asLong());
        return new TargetFeed.Snapshot(
                objects,
                root.path("revision").asLong(),
                root.path("changed").asLong(),
                receivedAt - ageNanos);
    }
}
