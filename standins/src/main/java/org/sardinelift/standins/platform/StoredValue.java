package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinelift.standins.Json;

/** One version of a stored object. */
record StoredValue(String kind, String name, long version, long revision, String value) {

    ObjectNode toJson() {
        return Json.object()
                .put("kind", kind)
                .put("name", name)
                .put("version", version)
                .put("revision", revision)
                .put("value", value);
    }
}
