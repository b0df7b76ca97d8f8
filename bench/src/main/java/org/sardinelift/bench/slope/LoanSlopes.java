package org.sardinelift.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Cost and refusals of token loans for a team with the mean rate, with the number of entries and
 * with its burst. Requests arrive at random times at random entries, at the same times in each run.
 */
final class LoanSlopes {
    private static final int[] ENTRIES = {1, 2, 6, 12, 24};
    private static final int[] BURSTS = {16, 64, 256, 1024};
    private static final int MAX_ENTRIES = 24;
    private static final int RATE = 16;
    private static final double OFFERED_OVER_RATE = 0.8;
    private static final int SECONDS = 60;
    private static final int STEPS_PER_SECOND = 1_000;
    private static final int ARRIVALS_SEED = 1;
    private static final int CHOICE_SEED = 2;

    private LoanSlopes() {}

    static List<Slope> measure() {
        List<Outcome> byEntries = new ArrayList<>();
        List<Outcome> byBurst = new ArrayList<>();
        for (int entries : ENTRIES) {
            byEntries.add(run(entries, entries, RATE));
        }
        for (int burst : BURSTS) {
            byBurst.add(run(burst, MAX_ENTRIES, burst));
        }
        return List.of(
                slope(
                        "loan messages, burst 16",
                        "entries",
                        "a request",
                        byEntries,
                        Outcome::messages),
                slope("refused, burst 16", "entries", "%", byEntries, Outcome::refused),
                slope(
                        "loan messages, 24 entries",
                        "burst",
                        "a request",
                        byBurst,
                        Outcome::messages),
                slope("refused, 24 entries", "burst", "%", byBurst, Outcome::refused));
    }

    /**
     * Cost and result of one run.
     *
     * @param size size that is varied
     * @param messages messages between entries per request
     * @param refused requests refused, percent
     */
    private record Outcome(int size, double messages, double refused) {}

    private static Slope slope(
            String name,
            String sizeUnit,
            String unit,
            List<Outcome> outcomes,
            ToDoubleFunction<Outcome> value) {
        List<Point> points =
                outcomes.stream()
                        .map(each -> new Point(each.size(), value.applyAsDouble(each)))
                        .toList();
        return new Slope("entry", name, sizeUnit, unit, points);
    }

    private static Outcome run(int size, int entries, int burst) {
        TeamPlan plan = new TeamPlan("mean", RATE, burst, Set.of(), Set.of(), 1, 1);
        LimitSimulation simulation = LimitSimulation.startSettled(entries, plan);
        Random arrivals = new Random(ARRIVALS_SEED);
        Random choice = new Random(CHOICE_SEED);
        double chance = RATE * OFFERED_OVER_RATE / STEPS_PER_SECOND;
        for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
            if (arrivals.nextDouble() < chance) {
                simulation.sendRequest(choice.nextInt(entries));
            }
            simulation.runSteps(1);
        }
        simulation.runSteps(STEPS_PER_SECOND);
        double requests = simulation.admitted() + simulation.refused();
        return new Outcome(
                size, simulation.messages() / requests, 100 * simulation.refused() / requests);
    }
}
