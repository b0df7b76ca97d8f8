package org.sardinelift.objects.kinds;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.settings.SettingsFile;
import org.sardinelift.settings.SettingsNode;
import org.sardinelift.settings.SettingsResult;

/** Decodes and encodes, as JSON, how the limits are divided between entries. */
public final class SharesCodec {
    /** Key of the only object of its kind. */
    public static final ObjectKey OBJECT_KEY = new ObjectKey("shares", "limits");

    private static final String REMEDY =
            "Delete the object while every entry is stopped, and start them after the longest time"
                    + " that a team's rate takes to fill its burst.";
    private static final int TOTAL = (int) Shares.TOTAL_UNITS;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private SharesCodec() {}

    /**
     * Encodes shares.
     *
     * @param shares the shares
     * @return one line of JSON
     */
    public static String encode(Shares shares) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("pool", shares.pool());
        node.put("fresh", shares.fresh());
        ArrayNode members = node.putArray("members");
        shares.members()
                .forEach(
                        (id, member) ->
                                members.addObject()
                                        .put("instance", id.instance())
                                        .put("incarnation", id.incarnation())
                                        .put("units", member.units())
                                        .put("joined", member.joinedVersion()));
        return node.toString();
    }

    /**
     * Decodes shares.
     *
     * @param json value of the object
     * @return the shares, or every problem found
     */
    public static DecodeResult<Shares> decode(String json) {
        SettingsResult<Value> result = SettingsFile.parse(json, Value::read);
        if (result instanceof SettingsResult.Invalid<Value> invalid) {
            return new DecodeResult.Invalid<>(
                    invalid.errors().stream()
                            .map(
                                    error ->
                                            new ConfigProblem(
                                                    "shares/limits" + error.path(),
                                                    error.expected(),
                                                    error.found(),
                                                    error.remedy()))
                            .toList());
        }
        Value value = ((SettingsResult.Valid<Value>) result).settings();
        if (value.total() != Shares.TOTAL_UNITS) {
            return invalid("", Shares.TOTAL_UNITS + " units in all", value.total() + " units");
        }
        if (value.fresh() > value.pool()) {
            return invalid(
                    "/fresh",
                    "at most the " + value.pool() + " units of the pool",
                    value.fresh() + " units");
        }
        return new DecodeResult.Valid<>(value.shares());
    }

    private static DecodeResult<Shares> invalid(String path, String expected, String found) {
        return new DecodeResult.Invalid<>(
                List.of(new ConfigProblem("shares/limits" + path, expected, found, REMEDY)));
    }

    private record Value(int pool, int fresh, List<Row> rows) {
        static Value read(SettingsNode node) {
            return new Value(
                    node.integer("pool", 0, 0, TOTAL),
                    node.integer("fresh", 0, 0, TOTAL),
                    node.objects("members", Row::read));
        }

        long total() {
            return pool + rows.stream().mapToLong(Row::units).sum();
        }

        Shares shares() {
            Map<MemberId, Shares.Member> members = new TreeMap<>();
            rows.forEach(row -> members.put(row.id(), row.member()));
            return new Shares(pool, fresh, members);
        }
    }

    private record Row(MemberId id, int units, int joined) {
        static Row read(SettingsNode node) {
            return new Row(
                    new MemberId(node.text("instance"), node.text("incarnation")),
                    node.integer("units", 0, 0, TOTAL),
                    node.integer("joined", 0, 0, Integer.MAX_VALUE));
        }

        Shares.Member member() {
            return new Shares.Member(units, joined);
        }
    }
}
