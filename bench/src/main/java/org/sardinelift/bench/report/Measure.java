package org.sardinelift.bench.report;

/**
 * One measured value of a report.
 *
 * @param group group of measures, such as a phase of the run
 * @param name what was measured
 * @param value the value
 * @param unit its unit
 */
public record Measure(String group, String name, double value, String unit) {}
