package org.sardinelift.bench.report;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Measures of one run, written as a table, JSON and a bar chart. */
public final class Report implements Output {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final String title;
    private final List<Measure> measures = new ArrayList<>();

    private Report(String title) {
        this.title = title;
    }

    /**
     * Creates an empty report.
     *
     * @param title what was measured
     * @return the report
     */
    public static Report of(String title) {
        return new Report(title);
    }

    /**
     * Adds a measure.
     *
     * @param group group of measures
     * @param name what was measured
     * @param value the value
     * @param unit its unit
     * @return this report
     */
    public Report add(String group, String name, double value, String unit) {
        measures.add(new Measure(group, name, value, unit));
        return this;
    }

    /**
     * Returns all measures.
     *
     * @return the measures in the order in which they were added
     */
    public List<Measure> measures() {
        return List.copyOf(measures);
    }

    @Override
    public String table() {
        return title
                + "\n"
                + measures.stream()
                        .map(
                                each ->
                                        String.format(
                                                Locale.ROOT,
                                                "%-22s %-44s %12.3f %s",
                                                each.group(),
                                                each.name(),
                                                each.value(),
                                                each.unit()))
                        .collect(Collectors.joining("\n"));
    }

    @Override
    public void write(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name + ".json"), toJson().toPrettyString() + "\n");
        Files.writeString(folder.resolve(name + ".svg"), BarChart.draw(title, measures));
    }

    private ObjectNode toJson() {
        ObjectNode root = MAPPER.createObjectNode().put("title", title);
        ArrayNode list = root.putArray("measures");
        measures.forEach(
                each ->
                        list.addObject()
                                .put("group", each.group())
                                .put("name", each.name())
                                .put("value", each.value())
                                .put("unit", each.unit()));
        return root;
    }
}
