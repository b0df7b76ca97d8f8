package org.sardinelift.bench.slope;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.sardinelift.bench.report.Output;

/** Slopes, written as a table, JSON and a line chart. */
public final class SlopeReport implements Output {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final List<Slope> slopes;

    private SlopeReport(List<Slope> slopes) {
        this.slopes = List.copyOf(slopes);
    }

    /**
     * Creates a report.
     *
     * @param slopes the measured slopes
     * @return the report
     */
    public static SlopeReport of(List<Slope> slopes) {
        return new SlopeReport(slopes);
    }

    @Override
    public String table() {
        return slopes.stream().map(SlopeReport::row).collect(Collectors.joining("\n"));
    }

    @Override
    public void write(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(name + ".json"), toJson().toPrettyString() + "\n");
        Files.writeString(folder.resolve(name + ".svg"), LineChart.draw(slopes));
    }

    private static String row(Slope slope) {
        String points =
                slope.points().stream()
                        .map(point -> figure(point.size()) + ": " + figure(point.value()))
                        .collect(Collectors.joining(", "));
        return "%-12s | %-42s | %s + %s x %s %s | %s"
                .formatted(
                        slope.group(),
                        slope.name(),
                        figure(slope.intercept()),
                        figure(slope.perUnit()),
                        slope.sizeUnit(),
                        slope.unit(),
                        points);
    }

    static String figure(double value) {
        return Math.abs(value) >= 100 || value == Math.rint(value)
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.3f", value);
    }

    private ArrayNode toJson() {
        ArrayNode all = MAPPER.createArrayNode();
        slopes.forEach(slope -> writeTo(slope, all.addObject()));
        return all;
    }

    private static void writeTo(Slope slope, ObjectNode node) {
        node.put("group", slope.group()).put("name", slope.name());
        node.put("sizeUnit", slope.sizeUnit()).put("unit", slope.unit());
        node.put("perUnit", slope.perUnit()).put("intercept", slope.intercept());
        ArrayNode points = node.putArray("points");
        slope.points()
                .forEach(
                        point ->
                                points.addObject()
                                        .put("size", point.size())
                                        .put("value", point.value()));
    }
}
