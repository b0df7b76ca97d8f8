package org.sardinelift.core.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.RoutePlan.WeightedService;

/** A call must get its route, team and service by host, path prefix, key and weight. */
class ServingPlanTest {
    private static RoutePlan route(String name, String host, String prefix) {
        return new RoutePlan(
                name,
                host,
                prefix,
                CallKind.STREAM,
                true,
                false,
                List.of(new WeightedService("s1", 90), new WeightedService("s2", 10)),
                Duration.ofSeconds(5),
                Duration.ofMillis(300),
                Duration.ofMillis(400),
                2,
                0,
                Duration.ZERO,
                Duration.ZERO,
                0);
    }

    private final ServingPlan plan =
            ServingPlan.of(
                    7,
                    List.of(
                            route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/")),
                    List.of(new RateLimit("t", 5, 5)),
                    Map.of("key", "t"),
                    new RequestLimits(1, 2, Duration.ZERO, Duration.ZERO));

    private String routeName(String host, String path) {
        return plan.route(host, path).map(RoutePlan::name).orElse("none");
    }

    @Test
    void theLongestPrefixOfTheHostWins() {
        assertEquals("long", routeName("a.example", "/x/y/z"));
        assertEquals("short", routeName("a.example", "/x/yz"));
        assertEquals("other", routeName("b.example", "/x/y/z"));
        assertEquals("none", routeName("a.example", "/z"));
        assertEquals("none", routeName("c.example", "/x/y/z"));
    }

    @Test
    void theHostIsComparedWithoutCaseAndPort() {
        assertEquals("short", routeName("A.Example:8080", "/x/1"));
    }

    @Test
    void callsAreSplitByWeight() {
        RoutePlan route = plan.route("a.example", "/x/1").orElseThrow();

        long first =
                LongStream.range(0, 1_000)
                        .filter(draw -> route.selectService(draw).orElseThrow().equals("s1"))
                        .count();

        assertEquals(900, first);
    }

    @Test
    void onlyCallsWhoseSecondRunDoesNoHarmAreRepeated() {
        assertTrue(CallKind.IDEMPOTENT.mayRepeat(false));
        assertFalse(CallKind.NON_IDEMPOTENT.mayRepeat(true));
        assertTrue(CallKind.STREAM.mayRepeat(true));
        assertFalse(CallKind.STREAM.mayRepeat(false));
    }

    @Test
    void aKeyBelongsToItsTeam() {
        assertEquals("t", plan.teamOfKey("key").orElseThrow());
        assertTrue(plan.teamOfKey("other").isEmpty());
    }
}
