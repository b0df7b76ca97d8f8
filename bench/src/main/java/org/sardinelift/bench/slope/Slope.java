package org.sardinelift.bench.slope;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/**
 * A quantity measured at several sizes, with its least-squares line.
 *
 * @param group part of the system
 * @param name what was measured
 * @param sizeUnit unit of the sizes
 * @param unit unit of the values
 * @param points the measured values
 */
public record Slope(String group, String name, String sizeUnit, String unit, List<Point> points) {

    /** Copies the points. */
    public Slope {
        points = List.copyOf(points);
        if (points.size() < 2) {
            throw new IllegalArgumentException(
                    "a line needs at least two points; measure at more sizes");
        }
    }

    /**
     * Measures a quantity at several sizes.
     *
     * @param group part of the system
     * @param name what is measured
     * @param sizeUnit unit of the sizes
     * @param unit unit of the values
     * @param sizes the sizes
     * @param measurement measures the quantity at a size
     * @return the slope
     */
    public static Slope measure(
            String group,
            String name,
            String sizeUnit,
            String unit,
            int[] sizes,
            IntToDoubleFunction measurement) {
        List<Point> points =
                IntStream.of(sizes)
                        .mapToObj(size -> new Point(size, measurement.applyAsDouble(size)))
                        .toList();
        return new Slope(group, name, sizeUnit, unit, points);
    }

    /**
     * Returns the growth per unit of size.
     *
     * @return slope of the least-squares line
     */
    public double perUnit() {
        double meanSize = meanSize();
        double meanValue = meanValue();
        double products = 0;
        double squares = 0;
        for (Point point : points) {
            double offset = point.size() - meanSize;
            products += offset * (point.value() - meanValue);
            squares += offset * offset;
        }
        return products / squares;
    }

    /**
     * Returns the value of the line at size 0.
     *
     * @return intercept of the least-squares line
     */
    public double intercept() {
        return meanValue() - perUnit() * meanSize();
    }

    private double meanSize() {
        return points.stream().mapToDouble(Point::size).average().orElseThrow();
    }

    private double meanValue() {
        return points.stream().mapToDouble(Point::value).average().orElseThrow();
    }
}
