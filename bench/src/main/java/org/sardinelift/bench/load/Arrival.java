package org.sardinelift.bench.load;

/**
 * A planned request.
 *
 * @param atNanos time to send it, from the start of the run
 * @param team team that sends it
 * @param isWithinRate whether it is within the team's rate and burst
 * @param number number of the request in the run
 */
public record Arrival(long atNanos, TeamLoad team, boolean isWithinRate, int number) {}
