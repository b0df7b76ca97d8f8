package org.sardinelift.bench.slope;

/**
 * A measured value at one size.
 *
 * @param size size at which it was measured
 * @param value the value
 */
public record Point(double size, double value) {}
