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

/**
 * Replays the recorded arrivals through three approaches to limiting and prints a table of the
 * results. Guards against admissions beyond a limit, and against wrong refusals, in each {@link
 * Scenario}.
 */
class LimitComparisonTest {
    private static final long TRACE_SEED = 20_260;
    private static final Set<Scenario> STEADY =
            Set.of(Scenario.EVEN, Scenario.UNEVEN, Scenario.FIVE_TIMES);
    private static final double MIN_SERVED_FRACTION = 0.95;
    private static final int SEED_COUNT = 12;
    private static final String SHARES = "shares and loans";
    private static final Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> APPROACHES =
            approaches();

    @ParameterizedTest
    @ValueSource(strings = {"coralbank", "strukla"})
    void sharesAndLoansNeverExceedLimitsAndRefuseFewerWronglyThanSimplerApproaches(String name)
            throws IOException {
        Trace trace = name.equals("coralbank") ? Trace.coralbank() : Trace.strukla();
        StringBuilder table = new StringBuilder("## " + name + "\n\n");
        table.append(
                "| scenario | way | admitted | refused | overrun | wrongful | worst served |\n");
        table.append("|---|---|---|---|---|---|---|\n");
        Map<String, Integer> wronglyRefused = new LinkedHashMap<>();
        for (Scenario scenario : Scenario.values()) {
            for (var approach : APPROACHES.entrySet()) {
                Score score = scenario.replay(trace, approach.getValue());
                table.append(
                        String.format(
                                "| %s | %s | %d | %d | %d | %d | %.3f |%n",
                                scenario.label(),
                                approach.getKey(),
                                score.admissions(),
                                score.refusals(),
                                score.overrun(),
                                score.wronglyRefused(),
                                score.lowestServedFraction()));
                wronglyRefused.merge(approach.getKey(), score.wronglyRefused(), Integer::sum);
                if (approach.getKey().equals(SHARES)) {
                    assertEquals(0, score.overrun(), scenario.label());
                    boolean isSteady = STEADY.contains(scenario);
                    assertTrue(
                            !isSteady || score.lowestServedFraction() >= MIN_SERVED_FRACTION,
                            scenario.label());
                }
            }
        }
        Path file = Path.of("target", "limits-" + name + ".md");
        Files.writeString(file, table);
        System.out.println(table);
        wronglyRefused.forEach(
                (approach, count) ->
                        assertTrue(
                                approach.equals(SHARES) || wronglyRefused.get(SHARES) < count,
                                () -> approach + " " + wronglyRefused));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void worstServedTeamIsServedWithEverySeed(long seed) throws IOException {
        for (Trace trace : List.of(Trace.coralbank(), Trace.strukla())) {
            for (Scenario scenario : STEADY) {
                Score score = replay(scenario, trace, seed);
                assertTrue(
                        score.lowestServedFraction() >= MIN_SERVED_FRACTION,
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
    void worstServedTeamIsServedOnAverageWithLostAnswers(String name) {
        Trace trace = name.equals("coralbank") ? Trace.coralbank() : Trace.strukla();
        double mean =
                LongStream.rangeClosed(1, SEED_COUNT)
                        .mapToObj(seed -> replay(Scenario.LOST_ANSWERS, trace, seed))
                        .peek(score -> assertEquals(0, score.overrun()))
                        .mapToDouble(Score::lowestServedFraction)
                        .average()
                        .orElseThrow();
        assertTrue(mean >= MIN_SERVED_FRACTION, () -> "mean of the worst served " + mean);
    }

    private static Score replay(Scenario scenario, Trace trace, long seed) {
        return scenario.replay(trace, APPROACHES.get(SHARES), seed);
    }

    @Test
    void recordedTracesMatchGenerator() throws IOException {
        for (Trace trace : List.of(Trace.coralbank(), Trace.strukla())) {
            String generated = trace.generate(TRACE_SEED);
            Files.writeString(Path.of("target", trace.name() + ".csv"), generated);
            assertEquals(generated, trace.recorded(), "recorded trace " + trace.name());
        }
    }

    private static Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> approaches() {
        Map<String, BiFunction<Simulation, Trace, SimulatedFleet>> approaches =
                new LinkedHashMap<>();
        approaches.put("static split", (simulation, trace) -> new StaticSplitFleet(simulation));
        approaches.put(
                "owner with lease",
                (simulation, trace) -> new OwnerLeaseFleet(simulation, trace.plans()));
        approaches.put(
                SHARES,
                (simulation, trace) ->
                        new ShareFleet(simulation, LimitBounds.defaults(), trace.plans()));
        return approaches;
    }
}
