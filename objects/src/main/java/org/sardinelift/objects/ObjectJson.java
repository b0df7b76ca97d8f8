package org.sardinelift.objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.function.Function;
import java.util.stream.StreamSupport;
import org.jspecify.annotations.Nullable;

/** Parses JSON bodies of the platform's responses; a missing field is an error. */
final class ObjectJson {
    static final JsonMapper MAPPER = JsonMapper.builder().build();

    private ObjectJson() {}

    static ReadResult parseFound(JsonNode body) {
        return new ReadResult.Found(object(body));
    }

    static ListResult.Listed parseListed(JsonNode body) {
        return new ListResult.Listed(
                number(body, "revision"), each(body, "objects", ObjectJson::object));
    }

    static WatchResult parseChanges(JsonNode body) {
        return new WatchResult.Changes(
                number(body, "revision"), each(body, "changes", ObjectJson::change));
    }

    static InstancesResult parseInstances(JsonNode body) {
        return new InstancesResult.Instances(each(body, "instances", ObjectJson::instance));
    }

    static WriteResult parseWritten(JsonNode body) {
        return new WriteResult.Written(number(body, "version"), number(body, "revision"));
    }

    static WriteResult parseConflict(JsonNode body) {
        return new WriteResult.Conflict(number(body, "version"));
    }

    private static StoredObject object(JsonNode node) {
        ObjectKey key = new ObjectKey(text(node, "kind"), text(node, "name"));
        return new StoredObject(
                key, number(node, "version"), number(node, "revision"), text(node, "value"));
    }

    private static WatchResult.Change change(JsonNode node) {
        ObjectKey key = new ObjectKey(text(node, "kind"), text(node, "name"));
        JsonNode state = node.path("object");
        @Nullable StoredObject object = state.isObject() ? object(state) : null;
        return new WatchResult.Change(key, number(node, "revision"), object);
    }

    private static InstancesResult.Instance instance(JsonNode node) {
        return new InstancesResult.Instance(
                text(node, "name"),
                text(node, "role"),
                text(node, "zone"),
                text(node, "host"),
                (int) number(node, "port"),
                text(node, "target"),
                node.path("leaving").asBoolean());
    }

    private static <T> List<T> each(JsonNode body, String field, Function<JsonNode, T> decoder) {
        JsonNode array = body.path(field);
        if (!array.isArray()) {
            throw new IllegalArgumentException("no list in field " + field);
        }
        return StreamSupport.stream(array.spliterator(), false).map(decoder).toList();
    }

    private static long number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException("no integer in field " + field);
        }
        return value.asLong();
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("no string in field " + field);
        }
        return value.asText();
    }
}
