package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.sardinelift.ctl.Json;
import org.sardinelift.objects.kinds.ConfigCodec;

/**
 * What differs between two values of one object; the writers' marks don't count.
 *
 * @param changes fields that differ, by name
 */
public record ObjectDiff(List<FieldChange> changes) {

    /**
     * One field that differs.
     *
     * @param field field name
     * @param before value before, a missing node where the field was absent
     * @param after value after, a missing node where the field is absent
     */
    public record FieldChange(String field, JsonNode before, JsonNode after) {}

    /**
     * Compares two values.
     *
     * @param before the value before, empty where there was no object
     * @param after the value after, empty where there is none
     * @return the difference
     */
    public static ObjectDiff between(JsonNode before, JsonNode after) {
        TreeSet<String> fields = new TreeSet<>();
        before.fieldNames().forEachRemaining(fields::add);
        after.fieldNames().forEachRemaining(fields::add);
        fields.remove(ConfigCodec.WRITE_MARK_FIELD);
        return new ObjectDiff(
                fields.stream()
                        .map(name -> new FieldChange(name, before.path(name), after.path(name)))
                        .filter(change -> !same(change.before(), change.after()))
                        .toList());
    }

    /**
     * Whether nothing differs.
     *
     * @return true where the values are the same
     */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /**
     * The difference for machines.
     *
     * @return an array of objects {@code field}, {@code before}, {@code after}
     */
    public ArrayNode toJson() {
        ArrayNode array = Json.array();
        changes.forEach(
                change -> {
                    ObjectNode node = array.addObject().put("field", change.field());
                    if (!change.before().isMissingNode()) {
                        node.set("before", change.before());
                    }
                    if (!change.after().isMissingNode()) {
                        node.set("after", change.after());
                    }
                });
        return array;
    }

    @Override
    public String toString() {
        return changes.stream()
                .map(
                        change ->
                                change.field()
                                        + ": "
                                        + show(change.before())
                                        + " -> "
                                        + show(change.after()))
                .collect(Collectors.joining("; "));
    }

    private static boolean same(JsonNode before, JsonNode after) {
        return before.isNumber() && after.isNumber()
                ? before.decimalValue().compareTo(after.decimalValue()) == 0
                : before.equals(after);
    }

    private static String show(JsonNode value) {
        return value.isMissingNode() ? "(none)" : value.toString();
    }
}
