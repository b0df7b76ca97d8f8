package org.sardinelift.bench.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Draws measures as horizontal bars in SVG; measures of one unit have a common panel and scale. */
final class BarChart {
    private static final int WIDTH = 900;
    private static final int BAR_LEFT = 430;
    private static final int BAR_WIDTH = 340;
    private static final int ROW_HEIGHT = 22;
    private static final int MARGIN = 16;
    private static final int PANEL_GAP = 34;

    private final StringBuilder body = new StringBuilder();
    private int top = MARGIN;

    private BarChart() {}

    static String draw(String title, List<Measure> measures) {
        BarChart chart = new BarChart();
        chart.drawText(MARGIN, chart.advance(ROW_HEIGHT), title, "bold");
        Map<String, List<Measure>> panels =
                measures.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Measure::unit,
                                        LinkedHashMap::new,
                                        Collectors.toCollection(ArrayList::new)));
        panels.forEach(chart::drawPanel);
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                        .formatted(WIDTH, chart.top + MARGIN)
                + " font-family=\"sans-serif\" font-size=\"12\">\n"
                + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                + chart.body
                + "</svg>\n";
    }

    private void drawPanel(String unit, List<Measure> measures) {
        double maxValue = measures.stream().mapToDouble(Measure::value).max().orElse(0);
        drawText(MARGIN, advance(PANEL_GAP), unit, "bold");
        measures.forEach(measure -> drawBar(measure, maxValue));
    }

    private void drawBar(Measure measure, double maxValue) {
        int base = advance(ROW_HEIGHT);
        double fraction = maxValue <= 0 ? 0 : Math.max(0, measure.value()) / maxValue;
        drawText(MARGIN, base, measure.group() + ": " + measure.name(), "normal");
        body.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"14\" fill=\"#4477aa\"/>%n",
                        BAR_LEFT,
                        base - 11,
                        fraction * BAR_WIDTH));
        String figure = String.format(Locale.ROOT, "%.3f", measure.value());
        drawText(BAR_LEFT + (int) (fraction * BAR_WIDTH) + 6, base, figure, "normal");
    }

    private int advance(int height) {
        top += height;
        return top;
    }

    private void drawText(int left, int base, String text, String weight) {
        String escaped = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
        body.append(
                "<text x=\"%d\" y=\"%d\" font-weight=\"%s\">%s</text>\n"
                        .formatted(left, base, weight, escaped));
    }
}
