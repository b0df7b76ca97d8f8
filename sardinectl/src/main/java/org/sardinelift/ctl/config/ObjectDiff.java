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
 * Difference between two values of one object, without the marks that writers store in them.
 *
 * @param changes fields that differ, by name
 */
public record ObjectDiff(List<FieldChange> changes) {

    /**
     * A field that differs.
     *
     * @param field field name
     * @param before value before, a missing node if the field was absent
     * @param after value after, a missing node if the field is absent
     */
    public record FieldChange(String field, JsonNode before, JsonNode after) {}

    /**
     * Compares two values.
     *
     * @param before value before, without fields if there was no object
     * @param after value after, without fields if there is none
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
                        .filter(change -> !isSame(change.before(), change.after()))
                        .toList());
    }

    /**
     * Whether the values are equal.
     *
     * @return true if no field differs
     */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /**
     * Returns the difference as JSON.
     *
     * @return an array of objects {@code field}, {@code before}, {@code after}
     */
    public ArrayNode toJson() {
        ArrayNode array = Json.newArray();
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
                                        + format(change.before())
                                        + " -> "
                                        + format(change.after()))
                .collect(Collectors.joining("; "));
    }

    private static boolean isSame(JsonNode before, JsonNode after) {
        return before.isNumber() && after.isNumber()
                ? before.decimalValue().compareTo(after.decimalValue()) == 0
                : before.equals(after);
    }

    private static String format(JsonNode value) {
        return value.isMissingNode() ? "(none)" : value.toString();
    }
}
