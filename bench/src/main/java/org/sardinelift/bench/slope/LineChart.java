package org.sardinelift.bench.slope;

import java.util.List;
import java.util.Locale;

/** Draws each slope in its own SVG panel: the measured points and the least-squares line. */
final class LineChart {
    private static final int COLUMNS = 3;
    private static final int PANEL_WIDTH = 330;
    private static final int PANEL_HEIGHT = 210;
    private static final int PLOT_LEFT = 20;
    private static final int PLOT_TOP = 50;
    private static final int PLOT_WIDTH = 280;
    private static final int PLOT_HEIGHT = 120;
    private static final int DOT_RADIUS = 4;
    private static final String SVG_TEMPLATE =
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                    + " font-family=\"sans-serif\" font-size=\"11\">\n"
                    + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n%s</svg>\n";

    private final StringBuilder body = new StringBuilder();

    private LineChart() {}

    static String draw(List<Slope> slopes) {
        LineChart chart = new LineChart();
        for (int index = 0; index < slopes.size(); index++) {
            int left = index % COLUMNS * PANEL_WIDTH;
            int top = index / COLUMNS * PANEL_HEIGHT;
            chart.drawPanel(slopes.get(index), left, top);
        }
        int rows = (slopes.size() + COLUMNS - 1) / COLUMNS;
        return SVG_TEMPLATE.formatted(COLUMNS * PANEL_WIDTH, rows * PANEL_HEIGHT, chart.body);
    }

    private void drawPanel(Slope slope, int left, int top) {
        double size = slope.points().stream().mapToDouble(Point::size).max().orElse(1);
        double value = slope.points().stream().mapToDouble(Point::value).max().orElse(1);
        Scale scale = new Scale(left + PLOT_LEFT, top + PLOT_TOP, size, Math.max(value, 1e-9));
        drawText(left + PLOT_LEFT, top + 18, slope.group() + ": " + slope.name(), "bold");
        drawText(left + PLOT_LEFT, top + 34, equation(slope), "normal");
        drawAxes(scale);
        drawLine(
                scale.x(0),
                scale.y(slope.intercept()),
                scale.x(size),
                scale.y(valueAt(slope, size)),
                "#4477aa");
        slope.points().forEach(point -> drawDot(scale.x(point.size()), scale.y(point.value())));
        String label = SlopeReport.figure(size) + " " + slope.sizeUnit();
        drawText(left + PLOT_LEFT, top + PLOT_TOP + PLOT_HEIGHT + 16, "0 to " + label, "normal");
    }

    private record Scale(int left, int top, double largestSize, double largestValue) {
        double x(double size) {
            return left + PLOT_WIDTH * size / largestSize;
        }

        double y(double value) {
            double fraction = Math.max(0, Math.min(1, value / largestValue));
            return top + PLOT_HEIGHT * (1 - fraction);
        }
    }

    private static String equation(Slope slope) {
        return "%s + %s for each of %s, %s"
                .formatted(
                        SlopeReport.figure(slope.intercept()),
                        SlopeReport.figure(slope.perUnit()),
                        slope.sizeUnit(),
                        slope.unit());
    }

    private static double valueAt(Slope slope, double size) {
        return slope.intercept() + slope.perUnit() * size;
    }

    private void drawAxes(Scale scale) {
        double bottom = scale.y(0);
        drawLine(scale.left(), scale.top(), scale.left(), bottom, "#999999");
        drawLine(scale.left(), bottom, scale.left() + PLOT_WIDTH, bottom, "#999999");
    }

    private void drawLine(double x1, double y1, double x2, double y2, String colour) {
        body.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>%n",
                        x1,
                        y1,
                        x2,
                        y2,
                        colour));
    }

    private void drawDot(double x, double y) {
        body.append(
                String.format(
                        Locale.ROOT,
                        "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%d\" fill=\"#cc6677\"/>%n",
                        x,
                        y,
                        DOT_RADIUS));
    }

    private void drawText(int left, int base, String text, String weight) {
        String escaped = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
        body.append(
                "<text x=\"%d\" y=\"%d\" font-weight=\"%s\">%s</text>\n"
                        .formatted(left, base, weight, escaped));
    }
}
