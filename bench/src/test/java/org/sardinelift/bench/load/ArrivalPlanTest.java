package org.sardinelift.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Arrivals marked as within the rate must never exceed the token bucket of their team. */
final class ArrivalPlanTest {
    private static final Duration LENGTH = Duration.ofSeconds(20);

    @Property(seed = "5501", tries = 200)
    void arrivalsWithinTheRateStayWithinRateAndBurstInEveryWindow(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 20) int rate,
            @ForAll @IntRange(min = 1, max = 10) int burst,
            @ForAll @IntRange(min = 1, max = 5) int offered) {
        List<TeamLoad> teams = List.of(new TeamLoad("t", "k", rate, burst, offered));
        List<Arrival> plan = ArrivalPlan.poisson(seed, teams, LENGTH);
        List<Arrival> within = plan.stream().filter(Arrival::isWithinRate).toList();
        for (int from = 0; from < within.size(); from++) {
            for (int to = from; to < within.size(); to++) {
                double seconds = (within.get(to).atNanos() - within.get(from).atNanos()) / 1e9;
                assertTrue(to - from + 1 <= burst + seconds * rate + 1e-6);
            }
        }
        assertEquals(plan, ArrivalPlan.poisson(seed, teams, LENGTH));
        assertTrue(plan.isEmpty() || plan.get(0).isWithinRate());
    }
}
