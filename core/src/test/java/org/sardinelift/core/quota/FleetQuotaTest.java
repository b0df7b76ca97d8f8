package org.sardinelift.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.RateLimit;

/**
 * Guards against a fleet of gateways that together admit more than a team's rate and burst, or much
 * less, when calls arrive unevenly, gateways lose contact, pause or restart, or the rate is
 * lowered. Time is virtual.
 */
class FleetQuotaTest {
    private static final long MILLI = 1_000_000;
    private static final RateLimit TEAM = new RateLimit("t", 24, 24);

    /** Window in which the platform allows some calls beyond rate and burst. */
    private static final int WINDOW_SECONDS = 5;

    private static final double ALLOWED_OVERRUN = 0.1;
    private static final double ALLOWED_EXTRA_CALLS = 20;

    private static final class Fleet {
        private final List<FleetQuota> gateways = new ArrayList<>();
        private final List<Long> admittedAtMs = new ArrayList<>();
        private final int[] group;
        private final Random random;
        private final RateLimit team;
        private long refused;

        Fleet(int size, RateLimit team, long seed) {
            this.team = team;
            this.group = new int[size];
            this.random = new Random(seed);
            QuotaBounds bounds = new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2));
            for (int i = 0; i < size; i++) {
                FleetQuota quota = FleetQuota.create(bounds, 0);
                quota.updateLimits(Map.of(team.name(), team), 0);
                gateways.add(quota);
            }
        }

        /**
         * Runs from one time to another, with calls at a rate, each at a random gateway of the
         * first few.
         */
        void run(int fromMs, int toMs, double callsPerSecond, int firstGateways) {
            for (long ms = fromMs; ms < toMs; ms++) {
                if (ms % 20 == 0) {
                    report(ms);
                }
                double expectedCalls = callsPerSecond / 1_000;
                while (expectedCalls > 0 && random.nextDouble() < expectedCalls) {
                    call(random.nextInt(firstGateways), ms);
                    expectedCalls -= 1;
                }
            }
        }

        private void call(int gateway, long ms) {
            if (gateways.get(gateway).tryAdmit(team, ms * MILLI) == 0) {
                admittedAtMs.add(ms);
            } else {
                refused++;
            }
        }

        private void report(long ms) {
            for (int from = 0; from < gateways.size(); from++) {
                Map<String, AdmittedCount> counts =
                        gateways.get(from).admittedCounts().entrySet().stream()
                                .collect(
                                        Collectors.toMap(
                                                Map.Entry::getKey,
                                                count ->
                                                        new AdmittedCount(
                                                                count.getValue(), ms * MILLI)));
                for (int to = 0; to < gateways.size(); to++) {
                    if (from != to && group[from] == group[to]) {
                        gateways.get(to).onReport("g" + from, 1, ms * MILLI, counts, ms * MILLI);
                    }
                }
            }
        }

        long maxInWindow() {
            long max = 0;
            int first = 0;
            for (int last = 0; last < admittedAtMs.size(); last++) {
                while (admittedAtMs.get(last) - admittedAtMs.get(first)
                        >= WINDOW_SECONDS * 1_000L) {
                    first++;
                }
                max = Math.max(max, last - first + 1);
            }
            return max;
        }
    }

    private static double allowed(RateLimit team) {
        return (team.ratePerSecond() * WINDOW_SECONDS + team.burst()) * (1 + ALLOWED_OVERRUN)
                + ALLOWED_EXTRA_CALLS;
    }

    @Test
    void oneGatewayAdmitsTheWholeRateIfAllCallsArriveThere() {
        Fleet fleet = new Fleet(5, TEAM, 1);

        fleet.run(0, 4_000, 0, 1);
        fleet.run(4_000, 14_000, 22, 1);

        assertEquals(0, fleet.refused);
    }

    @Test
    void teamAtManyTimesItsRateIsLimitedToIt() {
        Fleet fleet = new Fleet(5, TEAM, 2);

        fleet.run(0, 20_000, 180, 5);

        assertTrue(fleet.maxInWindow() <= allowed(TEAM), "" + fleet.maxInWindow());
        assertTrue(fleet.admittedAtMs.size() >= 20 * 24 * 0.95, "" + fleet.admittedAtMs.size());
    }

    @Test
    void wholeBurstIsAdmittedAfterIdleTime() {
        Fleet fleet = new Fleet(3, TEAM, 3);

        fleet.run(0, 3_000, 0, 3);
        IntStream.range(0, 24).forEach(i -> fleet.call(0, 3_000));
        fleet.call(0, 3_000);

        assertEquals(24, fleet.admittedAtMs.size());
        assertEquals(1, fleet.refused);
    }

    @Property(tries = 60)
    void limitHoldsWhicheverGroupsLoseContact(
            @ForAll @IntRange(min = 2, max = 8) int size,
            @ForAll @IntRange(min = 2, max = 8) int groups,
            @ForAll long seed) {
        Fleet fleet = new Fleet(size, TEAM, seed);
        Random random = new Random(seed);

        fleet.run(0, 3_000, 10, size);
        IntStream.range(0, size).forEach(i -> fleet.group[i] = random.nextInt(groups));
        fleet.run(3_000, 12_000, 180, size);
        IntStream.range(0, size).forEach(i -> fleet.group[i] = 0);
        fleet.run(12_000, 20_000, 180, size);

        assertTrue(fleet.maxInWindow() <= allowed(TEAM), "" + fleet.maxInWindow());
    }

    /**
     * What was reserved for a silent peer must not be charged to the others again when it returns.
     */
    @Test
    void callsAreAdmittedAsSoonAsContactIsRestored() {
        Fleet fleet = new Fleet(2, TEAM, 6);
        fleet.run(0, 3_000, 20, 2);
        fleet.group[1] = 1;
        fleet.run(3_000, 15_000, 20, 2);
        fleet.group[1] = 0;
        fleet.run(15_000, 15_100, 0, 2);
        long before = fleet.refused;

        fleet.run(15_100, 20_000, 20, 2);

        assertTrue(fleet.refused - before <= 5, "" + (fleet.refused - before));
    }

    @Test
    void pausedGatewayDoesNotSpendEarlierTokens() {
        Fleet fleet = new Fleet(2, TEAM, 4);
        fleet.run(0, 3_000, 0, 2);
        FleetQuota paused = fleet.gateways.get(0);

        paused.onPause(3_000 * MILLI);

        assertTrue(paused.tryAdmit(TEAM, 3_000 * MILLI) > 0);
    }

    @Test
    void restartedPeerIsCountedFromItsStart() {
        QuotaBounds bounds = new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2));
        FleetQuota quota = FleetQuota.create(bounds, 0);
        quota.updateLimits(Map.of("t", TEAM), 0);
        long now = 3_000 * MILLI;
        quota.onReport("g", 1, now, Map.of("t", new AdmittedCount(500, now)), now);
        quota.onReport("g", 2, MILLI, Map.of("t", new AdmittedCount(20, MILLI)), now);

        long admitted = IntStream.range(0, 24).filter(i -> quota.tryAdmit(TEAM, now) == 0).count();

        assertEquals(4, admitted);
    }

    @Test
    void callIsAdmittedAfterTheReturnedWait() {
        FleetQuota quota =
                FleetQuota.create(
                        new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2)), 0);
        quota.updateLimits(Map.of("t", TEAM), 0);

        long wait = quota.tryAdmit(TEAM, 0);

        assertTrue(quota.tryAdmit(TEAM, wait - MILLI) > 0);
        assertEquals(0, quota.tryAdmit(TEAM, wait + MILLI));
    }

    @Test
    void loweredRateHoldsAtOnce() {
        Fleet fleet = new Fleet(2, TEAM, 5);
        fleet.run(0, 3_000, 0, 2);
        RateLimit lowerLimit = new RateLimit("t", 2, 2);
        fleet.gateways.forEach(quota -> quota.updateLimits(Map.of("t", lowerLimit), 3_000 * MILLI));

        long admitted =
                IntStream.range(0, 50)
                        .filter(i -> fleet.gateways.get(0).tryAdmit(lowerLimit, 3_000 * MILLI) == 0)
                        .count();

        assertEquals(2, admitted);
    }
}
