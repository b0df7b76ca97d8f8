package org.sardinelift.standins.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sardinelift.http.HttpExchange;

/**
 * One parsed call of the platform's API.
 *
 * @param type operation called
 * @param kind kind of object, empty for a watch and the list of instances
 * @param name name of the object, or the name prefix for a list
 * @param kinds kinds watched
 * @param versionOrRevision version that a change expects, or revision after which a watch starts;
 *     -1 where absent or malformed
 * @param waitMs time that a watch waits for a change, milliseconds
 * @param body request body
 */
record Operation(
        OperationType type,
        String kind,
        String name,
        Set<String> kinds,
        long versionOrRevision,
        long waitMs,
        String body) {

    private static final int LIST_PATH_PARTS = 3;
    private static final int OBJECT_PATH_PARTS = 4;

    static Operation of(HttpExchange exchange) {
        String rawPath = exchange.uri().split("\\?", 2)[0];
        String[] parts = rawPath.split("/", OBJECT_PATH_PARTS);
        String kind = parts.length >= LIST_PATH_PARTS ? decode(parts[2]) : "";
        String name = parts.length == OBJECT_PATH_PARTS ? decode(parts[3]) : "";
        OperationType type = type(exchange.method(), parts);
        String prefix = exchange.query("prefix");
        boolean list = type == OperationType.LIST;
        return new Operation(
                type,
                kind,
                list ? (prefix == null ? "" : prefix) : name,
                kinds(exchange.query("kinds")),
                parseNumber(exchange.query(type == OperationType.WATCH ? "after" : "ifVersion")),
                Math.max(0, parseNumber(exchange.query("waitMs"))),
                exchange.bodyText());
    }

    String countedKind() {
        return type == OperationType.WATCH || type == OperationType.INSTANCES ? "-" : kind;
    }

    private static OperationType type(String method, String[] parts) {
        String root = parts.length > 1 ? parts[1] : "";
        return switch (method + " " + root + " " + parts.length) {
            case "GET objects 4" -> OperationType.READ;
            case "PUT objects 4" -> OperationType.WRITE;
            case "DELETE objects 4" -> OperationType.DELETE;
            case "GET objects 3" -> OperationType.LIST;
            case "GET watch 2" -> OperationType.WATCH;
            case "GET instances 2" -> OperationType.INSTANCES;
            default -> OperationType.UNKNOWN;
        };
    }

    private static Set<String> kinds(@Nullable String list) {
        return list == null ? Set.of() : Set.copyOf(java.util.List.of(list.split(",")));
    }

    private static long parseNumber(@Nullable String text) {
        try {
            return text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String decode(String part) {
        return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
