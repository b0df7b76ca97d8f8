package org.sardinelift.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.sardinelift.standins.Json;

/** Counts the calls to the platform by kind of object and operation. */
final class CallCounts {
    private final Map<String, Map<String, Long>> calls = new TreeMap<>();
    private long total;
    private long refused;

    synchronized void count(String kind, String operation) {
        total++;
        calls.computeIfAbsent(kind, key -> new TreeMap<>()).merge(operation, 1L, Long::sum);
    }

    synchronized void countRefused() {
        refused++;
    }

    synchronized ObjectNode toJson() {
        ObjectNode body = Json.object().put("total", total).put("refused", refused);
        ObjectNode byKind = body.putObject("calls");
        calls.forEach(
                (kind, operations) -> {
                    ObjectNode node = byKind.putObject(kind);
                    operations.forEach(node::put);
                });
        return body;
    }
}
