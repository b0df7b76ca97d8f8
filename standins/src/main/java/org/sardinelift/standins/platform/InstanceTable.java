package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sardinelift.standins.Json;

/** The instances that the platform lists; the caller delays changes by the lag. */
final class InstanceTable {
    private final Map<String, ObjectNode> instances = new LinkedHashMap<>();

    /** Applies the fields register, leaving and deregister of a change. */
    synchronized void apply(JsonNode change) {
        Json.elements(change.path("register")).forEach(this::register);
        Json.elements(change.path("leaving"))
                .map(name -> instances.get(name.asText()))
                .filter(instance -> instance != null)
                .forEach(instance -> instance.put("leaving", true));
        Json.elements(change.path("deregister")).forEach(name -> instances.remove(name.asText()));
    }

    synchronized ObjectNode toJson() {
        ObjectNode body = Json.object();
        var list = body.putArray("instances");
        instances.values().forEach(instance -> list.add(instance.deepCopy()));
        return body;
    }

    private void register(JsonNode instance) {
        String name = instance.path("name").asText();
        instances.put(
                name,
                Json.object()
                        .put("name", name)
                        .put("role", instance.path("role").asText())
                        .put("zone", instance.path("zone").asText())
                        .put("host", instance.path("host").asText("127.0.0.1"))
                        .put("port", instance.path("port").asInt())
                        .put("target", instance.path("target").asText())
                        .put("leaving", instance.path("leaving").asBoolean()));
    }
}
