package org.sardinelift.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServicePlan;

/** Guards against targets that are taken as warm too early, or as cold for too long. */
class ColdTargetsTest {
    private static final long MILLI = 1_000_000L;
    private static final String TARGET = "i-1/7";

    private TargetRateLimits limits;
    private ColdTargets cold;

    @BeforeEach
    void create() {
        FleetQuota quota =
                FleetQuota.create(
                        new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2)), 0);
        quota.shareStrictly(
                new StrictSharing(Duration.ofMillis(350), 40, Duration.ofSeconds(1), 1), 0);
        limits = TargetRateLimits.create(quota, Duration.ofMillis(700));
        cold = ColdTargets.of(limits);
    }

    private void configure(double coldPerSecond, long now) {
        cold.onPlan(
                service ->
                        Optional.of(
                                new ServicePlan(
                                        service,
                                        coldPerSecond > 0
                                                ? OptionalDouble.of(coldPerSecond)
                                                : OptionalDouble.empty(),
                                        Duration.ofSeconds(3),
                                        OptionalLong.empty())),
                now);
    }

    private static RegisteredTarget entry(OptionalLong remainingColdMs) {
        return new RegisteredTarget("i-1", "s", "h", 1, "z", 8, false, 7, "v", remainingColdMs);
    }

    private List<ColdTargets.Change> list(long remainingColdMs, long listedAtMs, long nowMs) {
        return cold.onListed(
                List.of(
                        entry(
                                remainingColdMs < 0
                                        ? OptionalLong.empty()
                                        : OptionalLong.of(remainingColdMs))),
                listedAtMs * MILLI,
                nowMs * MILLI);
    }

    private void assertLimit(double perSecond) {
        assertEquals(OptionalDouble.of(perSecond), limits.limit(TARGET));
    }

    private void assertNoLimit() {
        assertEquals(OptionalDouble.empty(), limits.limit(TARGET));
        assertTrue(limits.isEmpty());
    }

    @Test
    void nothingIsLimitedOrReportedWithoutARateOfColdTargets() {
        configure(0, 0);

        assertEquals(List.of(), list(3_000, 0, 0));
        assertEquals(Optional.empty(), cold.onSilent(TARGET, MILLI));
        assertEquals(Optional.empty(), cold.onAnswer(TARGET, MILLI));
        assertEquals(List.of(), cold.onEvacuationEnded("z", MILLI));
        assertEquals(Optional.empty(), cold.onPeerReport(TARGET, 3_000, MILLI));
        limits.onRequest(TARGET, MILLI);

        assertNoLimit();
        assertEquals(List.of(), limits.reports(true, 2 * MILLI));
    }

    @Test
    void aNewTargetIsColdFromItsFirstListing() {
        configure(10, 0);

        list(-1, 0, 0);

        assertLimit(10);
    }

    @Test
    void aNewTargetWhoseEntryStatesThatItIsWarmIsNotLimited() {
        configure(10, 0);

        list(0, 0, 0);

        assertNoLimit();
    }

    @Test
    void withoutAStatementTheColdTimeOfTheConfigurationHolds() {
        configure(10, 0);
        list(-1, 0, 0);

        list(-1, 2_900, 2_900);
        cold.tick(2_990 * MILLI);
        assertLimit(10);
        cold.tick(3_000 * MILLI);

        assertLimit(20);
    }

    @Test
    void theLimitGrowsInStepsAndIsRemoved() {
        configure(10, 0);
        list(1_000, 0, 0);
        List<Double> rates = new ArrayList<>();

        for (long ms = 0; ms < 5_000; ms += 50) {
            cold.tick(ms * MILLI);
            limits.limit(TARGET).ifPresent(rates::add);
        }

        assertEquals(
                List.of(10.0, 20.0, 40.0, 80.0, 160.0, 320.0), rates.stream().distinct().toList());
        assertNoLimit();
    }

    @Test
    void aTargetThatAnswersAgainStaysColdUntilALaterListSaysOtherwise() {
        configure(10, 0);
        list(0, 0, 0);

        cold.onSilent(TARGET, 1_000 * MILLI);
        assertLimit(10);
        list(0, 4_000, 4_000);
        assertLimit(10);
        cold.onAnswer(TARGET, 5_000 * MILLI);
        list(0, 6_900, 7_000);
        assertLimit(10);
        list(0, 7_000, 7_100);

        assertLimit(20);
    }

    @Test
    void theEndOfAnEvacuationMakesItsZoneColdUntilALaterListSaysOtherwise() {
        configure(10, 0);
        list(0, 0, 0);

        cold.onEvacuationEnded("another", 1_000 * MILLI);
        assertNoLimit();
        cold.onEvacuationEnded("z", 1_000 * MILLI);
        list(0, 2_900, 2_900);
        assertLimit(10);
        list(0, 3_000, 3_100);

        assertLimit(20);
    }

    @Test
    void whatAPeerReportsIsAppliedAndNotReportedAgain() {
        configure(10, 0);
        list(0, 0, 0);

        cold.onPeerReport(TARGET, 2_000, 1_000 * MILLI);

        assertLimit(10);
        assertEquals(List.of(), limits.reports(false, 1_001 * MILLI));
    }

    @Test
    void anotherIncarnationThatAPeerKnowsLimitsTheListedOne() {
        configure(10, 0);
        list(0, 0, 0);

        cold.onPeerReport("i-1/8", 0, 1_000 * MILLI);

        assertEquals(OptionalDouble.of(0.2), limits.limit(TARGET));
    }

    @Test
    void silenceIsReportedOnceAndNotForAsLongAsItLasts() {
        configure(10, 0);
        list(0, 0, 0);

        cold.onSilent(TARGET, 1_000 * MILLI);

        assertEquals(
                OptionalLong.of(4_900 * MILLI),
                limits.reports(false, 1_100 * MILLI).get(0).coldLeftNanos());
        assertEquals(List.of(), limits.reports(false, 1_800 * MILLI));
    }

    @Test
    void limitsFollowAConfigurationThatArrivesLaterOrChanges() {
        list(-1, 0, 0);
        assertNoLimit();

        configure(10, 100 * MILLI);
        assertLimit(10);
        configure(4, 200 * MILLI);
        assertLimit(4);
        configure(0, 300 * MILLI);

        assertNoLimit();
    }

    @Test
    void theLowerOfTwoLimitsHolds() {
        configure(10, 0);
        list(3_000, 0, 0);

        limits.onResponse(TARGET, new StatedRate.Limited(3), 0, MILLI);
        assertLimit(3);
        limits.onResponse(TARGET, new StatedRate.Limited(30), 2 * MILLI, 3 * MILLI);
        assertLimit(10);
        configure(0, 4 * MILLI);

        assertLimit(30);
    }

    @Test
    void anAbsurdColdTimeIsNotBelieved() {
        configure(10, 0);
        list(Long.MAX_VALUE, 0, 0);

        cold.tick(Duration.ofMinutes(5).toNanos());

        assertLimit(20);
    }
}
