package org.sardinelift.core.limit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * One minute of recorded arrivals of a deployment: microseconds, team, and a draw from 0 to 999.
 */
record Trace(String name, Map<String, TeamPlan> plans, List<Arrival> arrivals) {
    static final long LENGTH_MICROS = 60_000_000;
    private static final double LOAD_FACTOR = 0.85;
    private static final int DRAW_BOUND = 1_000;

    record Arrival(long micros, String team, int draw) {}

    static Trace coralbank() {
        return load("coralbank", 24, 18, 6, 4, 3, 2, 1, 0.5);
    }

    static Trace strukla() {
        return load("strukla", 30, 15, 8, 5, 3, 2, 1, 0.5);
    }

    /** Generates the arrivals: Poisson at a part of the rate, with occasional bursts. */
    String generate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> generated = new ArrayList<>();
        for (TeamPlan plan : plans.values()) {
            double at = 0;
            while (at < LENGTH_MICROS) {
                at +=
                        -Math.log(1 - random.nextDouble())
                                / (plan.ratePerSecond() * LOAD_FACTOR)
                                * 1e6;
                generated.add(new Arrival((long) at, plan.name(), random.nextInt(DRAW_BOUND)));
            }
            for (int i = 0; i < 3; i++) {
                long start = random.nextLong(LENGTH_MICROS - 1_000_000);
                for (int j = 0; j < plan.burst() / 2; j++) {
                    long micros = start + random.nextLong(200_000);
                    generated.add(new Arrival(micros, plan.name(), random.nextInt(DRAW_BOUND)));
                }
            }
        }
        return generated.stream()
                .filter(arrival -> arrival.micros() < LENGTH_MICROS)
                .sorted(Comparator.comparingLong(Arrival::micros))
                .map(
                        arrival ->
                                arrival.micros()
                                        + ","
                                        + arrival.team()
                                        + ","
                                        + arrival.draw()
                                        + "\n")
                .collect(Collectors.joining());
    }

    String recorded() {
        return read(name);
    }

    private static Trace load(String name, double... rates) {
        Map<String, TeamPlan> plans = new LinkedHashMap<>();
        for (int i = 0; i < rates.length; i++) {
            String team = "t" + (i + 1);
            double burst = Math.max(2, 2 * rates[i]);
            plans.put(team, new TeamPlan(team, rates[i], burst, Set.of(), Set.of(), 1, 1));
        }
        List<Arrival> arrivals =
                read(name)
                        .lines()
                        .map(line -> line.split(","))
                        .map(
                                cells ->
                                        new Arrival(
                                                Long.parseLong(cells[0]),
                                                cells[1],
                                                Integer.parseInt(cells[2])))
                        .toList();
        return new Trace(name, plans, arrivals);
    }

    private static String read(String name) {
        try (var in = Trace.class.getResourceAsStream("/traces/" + name + ".csv")) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
