package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.VersionRecord;
import org.sardinelift.core.resume.VersionRecord.State;

/** JSON form of the record of software versions, in the store and between instances. */
final class VersionRecordJson {
    private VersionRecordJson() {}

    static void write(VersionRecord record, ArrayNode array) {
        record.states()
                .forEach(
                        (version, state) ->
                                array.addObject()
                                        .put("service", version.service())
                                        .put("version", version.version())
                                        .put("state", state.label()));
    }

    /** Reads a record; empty if a part of it is malformed, which could hide a version. */
    static Optional<VersionRecord> read(JsonNode array) {
        Map<SoftwareVersion, State> states = new HashMap<>();
        for (JsonNode each : array) {
            Optional<State> state = State.fromLabel(each.path("state").asText());
            boolean isNamed = each.path("service").isTextual() && each.path("version").isTextual();
            if (state.isEmpty() || !isNamed) {
                return Optional.empty();
            }
            states.put(
                    new SoftwareVersion(
                            each.path("service").asText(), each.path("version").asText()),
                    state.get());
        }
        return array.isArray() ? Optional.of(new VersionRecord(states)) : Optional.empty();
    }
}
