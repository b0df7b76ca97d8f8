package org.sardinelift.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.quota.TargetRateLimits.Statement;

/** Which statement of a target holds, and what is told to other instances. Time is virtual. */
class TargetRateLimitsTest {
    private static final long MILLI = 1_000_000;
    private static final String TARGET = "i-1/1";
    private static final StatedRate THREE = new StatedRate.Limited(3);
    private static final StatedRate NONE = new StatedRate.Unlimited();

    private FleetQuota quota;
    private TargetRateLimits limits;

    @BeforeEach
    void create() {
        quota =
                FleetQuota.create(
                        new QuotaBounds(Duration.ofMillis(600), Duration.ofSeconds(2)), 0);
        limits = TargetRateLimits.create(quota, Duration.ofMillis(700));
    }

    private void respond(StatedRate stated, long sentMs, long nowMs) {
        limits.onResponse(TARGET, stated, sentMs * MILLI, nowMs * MILLI);
    }

    private static Statement statement(double perSecond, long ms) {
        return new Statement(OptionalDouble.of(perSecond), ms * MILLI);
    }

    @Test
    void aResponseToAnOlderRequestDoesNotEndALimit() {
        respond(THREE, 1_000, 1_050);

        respond(NONE, 1_040, 1_060);
        assertEquals(OptionalDouble.of(3), limits.limit(TARGET));

        respond(NONE, 1_055, 1_070);
        assertEquals(OptionalDouble.empty(), limits.limit(TARGET));
        assertEquals(0, limits.nanosUntilRequest(TARGET, 1_070 * MILLI));
    }

    @Test
    void anOlderStatementOfAPeerChangesNothing() {
        respond(NONE, 0, 10);
        respond(THREE, 1_000, 1_050);
        respond(NONE, 1_100, 1_150);

        limits.onPeerStatement(TARGET, statement(3, 1_090), 1_160 * MILLI);
        assertEquals(OptionalDouble.empty(), limits.limit(TARGET));

        limits.onPeerStatement(TARGET, statement(4, 1_110), 1_170 * MILLI);
        assertEquals(OptionalDouble.of(4), limits.limit(TARGET));
    }

    @Test
    void anUnreadableStatementKeepsTheLimit() {
        respond(new StatedRate.Unreadable(), 0, 10);
        assertEquals(OptionalDouble.empty(), limits.limit(TARGET));

        respond(THREE, 1_000, 1_050);
        respond(new StatedRate.Unreadable(), 1_100, 1_150);
        assertEquals(OptionalDouble.of(3), limits.limit(TARGET));
    }

    /** Else two instances would keep a limit alive by hearing of it from each other. */
    @Test
    void whatAPeerStatedIsNotReportedOn() {
        limits.onPeerStatement(TARGET, statement(3, 1_000), 1_010 * MILLI);

        assertEquals(List.of(), limits.reports(true, 1_020 * MILLI));
    }

    @Test
    void reportsRepeatAChangeForAWhileAndAFullOneNamesEachLimit() {
        respond(THREE, 1_000, 1_050);

        assertEquals(1, limits.reports(false, 1_700 * MILLI).size());
        assertEquals(0, limits.reports(false, 1_800 * MILLI).size());
        assertEquals(1, limits.reports(true, 1_800 * MILLI).size());
    }

    @Test
    void theEndOfALimitIsReported() {
        respond(THREE, 1_000, 1_050);
        respond(NONE, 9_000, 9_050);

        List<TargetRateLimits.Report> reports = limits.reports(false, 9_060 * MILLI);

        assertEquals(1, reports.size());
        assertEquals(OptionalDouble.empty(), reports.get(0).statement().orElseThrow().perSecond());
    }

    @Test
    void aTargetThatTakesNothingGetsARequestNowAndThen() {
        respond(new StatedRate.Limited(0), 1_000, 1_050);

        long wait = limits.nanosUntilRequest(TARGET, 1_050 * MILLI);

        assertTrue(wait > 4_000 * MILLI && wait <= 5_000 * MILLI, wait / MILLI + " ms");
    }

    @Test
    void aTargetThatIsMissingFromTheListForAWhileKeepsItsLimit() {
        respond(THREE, 1_000, 1_050);

        limits.onRegistered(Set.of(), 2_000 * MILLI);
        assertEquals(List.of(), limits.reports(true, 2_000 * MILLI));
        limits.onRegistered(Set.of(TARGET), 9_000 * MILLI);
        assertEquals(OptionalDouble.of(3), limits.limit(TARGET));

        limits.onRegistered(Set.of(), 10_000 * MILLI);
        limits.onRegistered(Set.of(), 71_000 * MILLI);
        assertEquals(OptionalDouble.empty(), limits.limit(TARGET));
    }

    @Test
    void anotherIncarnationStartsWithoutTheLimit() {
        respond(THREE, 1_000, 1_050);

        assertEquals(OptionalDouble.empty(), limits.limit("i-1/2"));
    }

    @Test
    void requestsWaitInTurn() {
        respond(THREE, 1_000, 1_050);
        long now = 1_050 * MILLI;

        long first = limits.nanosUntilRequest(TARGET, now);
        limits.onRequest(TARGET, now);
        long second = limits.nanosUntilRequest(TARGET, now);

        assertEquals(333, first / MILLI, 1);
        assertEquals(666, second / MILLI, 1);
    }

    /** Calls go elsewhere while they can, so a limit that has ended would be kept for ever. */
    @Test
    void aLimitThatNoResponseHasConfirmedForAWhileIsToBeTested() {
        respond(THREE, 1_000, 1_050);
        assertFalse(limits.isUnconfirmed(TARGET, 2_000 * MILLI));
        assertTrue(limits.isUnconfirmed(TARGET, 2_050 * MILLI));

        limits.onPeerStatement(TARGET, statement(3, 2_060), 2_070 * MILLI);
        assertFalse(limits.isUnconfirmed(TARGET, 2_070 * MILLI));

        respond(NONE, 3_500, 3_550);
        assertFalse(limits.isUnconfirmed(TARGET, 9_000 * MILLI));
    }
}
