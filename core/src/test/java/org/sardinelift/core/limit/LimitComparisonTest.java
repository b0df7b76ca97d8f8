package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays the recorded arrivals through three ways of limiting and prints one table. */
class LimitComparisonTest {
    private static final long TRACE_SEED = 20_260;
    private static final Set<Scenario> STEADY =
            Set.of(Scenario.EVEN, Scenario.UNEVEN, Scenario.FIVE_TIMES);
    private static final double LEAST_SERVED = 0.95;
    private static final int SEEDS = 12;
    private static final String SHARES = "shares and loans";
    private static final Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> WAYS = ways();

    @ParameterizedTest
    @ValueSource(strings = {"coralbank", "strukla"})
    void sharesAndLoansNeverOverrunAndRefuseFewerWrongfullyThanTheSimplerWays(String name)
            throws IOException {
        Trace trace = name.equals("coralbank") ? Trace.coralbank() : Trace.strukla();
        StringBuilder table = new StringBuilder("## " + name + "\n\n");
        table.append(
                "| scenario | way | admitted | refused | overrun | wrongful | worst served |\n");
        table.append("|---|---|---|---|---|---|---|\n");
        Map<String, Integer> wrongful = new LinkedHashMap<>();
        for (Scenario scenario : Scenario.values()) {
            for (var way : WAYS.entrySet()) {
                Score score = scenario.replay(trace, way.getValue());
                table.append(
                        String.format(
                                "| %s | %s | %d | %d | %d | %d | %.3f |%n",
                                scenario.label(),
                                way.getKey(),
                                score.admissions(),
                                score.refusals(),
                                score.overrun(),
                                score.wronglyRefused(),
                                score.lowestServedFraction()));
                wrongful.merge(way.getKey(), score.wronglyRefused(), Integer::sum);
                if (way.getKey().equals(SHARES)) {
                    assertEquals(0, score.overrun(), scenario.label());
                    boolean steady = STEADY.contains(scenario);
                    assertTrue(
                            !steady || score.lowestServedFraction() >= LEAST_SERVED,
                            scenario.label());
                }
            }
        }
        Path file = Path.of("target", "limits-" + name + ".md");
        Files.writeString(file, table);
        System.out.println(table);
        wrongful.forEach(
                (way, count) ->
                        assertTrue(
                                way.equals(SHARES) || wrongful.get(SHARES) < count,
                                () -> way + " " + wrongful));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void theWorstServedTeamGetsItsDueWhateverTheSeed(long seed) throws IOException {
        for (Trace trace : List.of(Trace.coralbank(), Trace.strukla())) {
            for (Scenario scenario : STEADY) {
                Score score = replay(scenario, trace, seed);
                assertTrue(
                        score.lowestServedFraction() >= LEAST_SERVED,
                        () ->
                                trace.name()
                                        + " "
                                        + scenario.label()
                                        + " "
                                        + score.lowestServedFraction());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"coralbank", "strukla"})
    void withLostAnswersTheWorstServedTeamGetsItsDueOnAverage(String name) {
        Trace trace = name.equals("coralbank") ? Trace.coralbank() : Trace.strukla();
        double mean =
                LongStream.rangeClosed(1, SEEDS)
                        .mapToObj(seed -> replay(Scenario.LOST_ANSWERS, trace, seed))
                        .peek(score -> assertEquals(0, score.overrun()))
                        .mapToDouble(Score::lowestServedFraction)
                        .average()
                        .orElseThrow();
        assertTrue(mean >= LEAST_SERVED, () -> "mean of the worst served " + mean);
    }

    private static Score replay(Scenario scenario, Trace trace, long seed) {
        return scenario.replay(trace, WAYS.get(SHARES), seed);
    }

    @Test
    void theRecordedTracesAreThoseOfTheGenerator() throws IOException {
        for (Trace trace : List.of(Trace.coralbank(), Trace.strukla())) {
            String made = trace.generate(TRACE_SEED);
            Files.writeString(Path.of("target", trace.name() + ".csv"), made);
            assertEquals(made, trace.recorded(), "recorded trace " + trace.name());
        }
    }

    private static Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> ways() {
        Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> ways = new LinkedHashMap<>();
        ways.put("static split", (world, trace) -> new StaticSplitFleet(world));
        ways.put("owner with lease", (world, trace) -> new OwnerLeaseFleet(world, trace.plans()));
        ways.put(
                SHARES,
                (world, trace) -> new ShareFleet(world, LimitBounds.defaults(), trace.plans()));
        return ways;
    }
}
