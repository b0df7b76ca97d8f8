package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.sardinelift.standins.Json;

/** One change in the object store: an object's new state, null where it was deleted. */
record Change(String kind, String name, long revision, @Nullable StoredValue state) {

    ObjectNode toJson() {
        ObjectNode node =
                Json.object().put("kind", kind).put("name", name).put("revision", revision);
        if (state == null) {
            node.putNull("object");
        } else {
            node.set("object", state.toJson());
        }
        return node;
    }
}
