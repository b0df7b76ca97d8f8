package org.sardinelift.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sardinelift.standins.Json;

/**
 * Accepts orders and applies them to the loaded models. Orders run one after another; the previous
 * version of a model is served until the next one is loaded.
 */
final class OrderProcessor {
    private static final String LOAD = "load";

    private final boolean checksFence;
    private final Map<String, String> versions = new LinkedHashMap<>();
    private final ArrayNode accepted = Json.object().putArray("orders");
    private Duration loadTime;
    private String failingVersion = "";
    private long busyUntilNanos = System.nanoTime();
    private long highestFence;
    private String role = "serving";

    OrderProcessor(EngineOptions options) {
        this.checksFence = options.checksFence();
        this.loadTime = options.loadTime();
        options.models().stream().sorted().forEach(model -> versions.put(model, "1"));
    }

    /** Sets the load time and the version whose load fails; absent fields change nothing. */
    synchronized void setFaults(JsonNode faults) {
        if (faults.has("loadMs")) {
            loadTime = Duration.ofMillis(faults.path("loadMs").asLong());
        }
        failingVersion = faults.path("failVersion").asText(failingVersion);
    }

    /** Accepts an order; returns false if fences are checked and its fencing number is old. */
    synchronized boolean accept(long fence, JsonNode order) {
        if (checksFence && fence < highestFence) {
            return false;
        }
        highestFence = Math.max(highestFence, fence);
        accepted.addObject().put("fence", fence).set("order", order);
        return true;
    }

    /** Schedules an accepted order after those before it; returns the time until it is done. */
    synchronized Duration scheduleCompletion(JsonNode order, long nowNanos) {
        long durationNanos = order.path("action").asText().equals(LOAD) ? loadTime.toNanos() : 0;
        busyUntilNanos = Math.max(busyUntilNanos, nowNanos) + durationNanos;
        return Duration.ofNanos(busyUntilNanos - nowNanos);
    }

    /** Applies an order; returns false if its version can't be loaded. */
    synchronized boolean apply(JsonNode order) {
        String subject = order.path("subject").asText();
        String version = order.path("version").asText("1");
        switch (order.path("action").asText()) {
            case LOAD -> {
                if (version.equals(failingVersion)) {
                    return false;
                }
                versions.put(subject, version);
            }
            case "unload" -> versions.remove(subject);
            case "role" -> role = subject;
            default -> {
                // Other actions are recorded but have no effect.
            }
        }
        return true;
    }

    synchronized long highestFence() {
        return highestFence;
    }

    synchronized boolean isLoaded(String model) {
        return versions.containsKey(model);
    }

    synchronized ObjectNode modelsJson() {
        ObjectNode body = Json.object().put("object", "list").put("role", role);
        ArrayNode data = body.putArray("data");
        versions.forEach(
                (model, version) ->
                        data.addObject()
                                .put("id", model)
                                .put("object", "model")
                                .put("version", version));
        return body;
    }

    synchronized ObjectNode toJson() {
        ObjectNode body = Json.object().put("highestFence", highestFence).put("role", role);
        body.put("busy", busyUntilNanos - System.nanoTime() > 0);
        body.set("orders", accepted.deepCopy());
        return body;
    }
}
