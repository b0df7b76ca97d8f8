package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against units that two entries use at once, after a lost answer, a stale read, a pause or
 * an early reclaim, and against a call timeout that doesn't fit the latency.
 */
class ShareLedgerTest {
    private static final long SECOND = 1_000_000_000;
    private static final MemberId SELF = new MemberId("e1", "i1");
    private static final MemberId OTHER = new MemberId("e2", "i1");
    private static final LimitBounds BOUNDS = LimitBounds.defaults();

    private final ShareLedger ledger = ShareLedger.create(SELF, BOUNDS, new SplittableRandom(1));
    private long now = SECOND;

    @Test
    void raiseIsUsedOnlyAfterAnotherConfirmedWriteIfItsAnswerWasLost() {
        reportList("e1", "e2");
        ledger.onRead(nextCall(ShareCall.Read.class).number(), 0, Shares.initial(), now);
        ShareCall.Write lost = nextCall(ShareCall.Write.class);
        assertTrue(lost.shares().units(SELF) > 0);
        ledger.onFailed(lost.number(), now);
        ledger.onRead(nextCall(ShareCall.Read.class).number(), 1, lost.shares(), now);
        assertEquals(0, ledger.usableUnits());
        ledger.onWritten(nextCall(ShareCall.Write.class).number(), 2, now);
        assertEquals(lost.shares().units(SELF), ledger.usableUnits());
    }

    @Test
    void staleReadDoesNotConfirmTheShareAfterAPause() {
        Shares acquired = acquireHalf();
        now += BOUNDS.pauseBound().toNanos() + SECOND;
        ledger.checkValidity(now);
        assertEquals(0, ledger.usableUnits());
        ledger.onRead(nextCall(ShareCall.Read.class).number(), 1, acquired, now);
        assertEquals(0, ledger.usableUnits());
        ShareCall.Write confirmation = nextCall(ShareCall.Write.class);
        assertEquals(acquired, confirmation.shares());
        ledger.onFailed(confirmation.number(), now);
        assertEquals(0, ledger.usableUnits());
    }

    @Test
    void surplusUnitsAreNotUsedBeforeTheWriteThatReleasesThem() {
        Shares acquired = acquireHalf();
        ledger.updateDemand(-1_000, now);
        assertEquals(acquired.units(SELF) - 1_000, ledger.usableUnits());
        ShareCall.Write write = null;
        while (write == null) {
            ShareCall call = nextCall(ShareCall.class);
            if (call instanceof ShareCall.Write w) {
                write = w;
            } else {
                ledger.onRead(call.number(), 1, acquired, now);
            }
        }
        assertEquals(acquired.units(SELF) - 1_000, write.shares().units(SELF));
        assertEquals(acquired.pool() + 1_000, write.shares().pool());
    }

    @Test
    void unitsAreReclaimedOnlyAfterTheListLackedTheirOwnerForTheWholeDelay() {
        Shares acquired = acquireHalf();
        long missingSince = now;
        long version = 1;
        Shares shares = acquired;
        while (shares.members().containsKey(OTHER)) {
            reportList("e1");
            ShareCall call = ledger.tick(now).orElse(null);
            if (call instanceof ShareCall.Write write) {
                shares = write.shares();
                ledger.onWritten(call.number(), ++version, now);
            } else if (call != null) {
                ledger.onRead(call.number(), version, shares, now);
            }
            now += SECOND / 10;
        }
        assertTrue(now - missingSince >= BOUNDS.reclaimDelay().toNanos());
    }

    @Test
    void lostAnswerIsDetectedWellBeforeTheTimeoutIfAnswersAreFast() {
        acquireHalf();
        ShareCall lost = nextCall(ShareCall.class);
        long lostAt = now;
        assertTrue(nextCall(ShareCall.class).number() > lost.number());
        assertTrue(now - lostAt < BOUNDS.callTimeout().toNanos() * 3 / 4);
    }

    @Test
    void slowAnswerIsAcceptedAfterAFewTries() {
        reportList("e1", "e2");
        long latency = BOUNDS.callTimeout().toNanos() * 9 / 10;
        for (int i = 0; i < 10; i++) {
            ShareCall call = nextCall(ShareCall.class);
            long answeredAt = now + latency;
            while (now < answeredAt && ledger.tick(now).isEmpty()) {
                now += SECOND / 100;
            }
            if (call instanceof ShareCall.Write) {
                ledger.onWritten(call.number(), 1, now);
            } else {
                ledger.onRead(call.number(), 0, Shares.initial(), now);
            }
        }
        assertTrue(ledger.usableUnits() > 0);
    }

    /** Joins another entry that has half of the units, and acquires the other half. */
    private Shares acquireHalf() {
        reportList("e1", "e2");
        Shares before =
                Shares.initial()
                        .addMember(OTHER, 1)
                        .transferFromPool(OTHER, Shares.TOTAL_UNITS / 2);
        ledger.onRead(nextCall(ShareCall.Read.class).number(), 0, before, now);
        ShareCall.Write join = nextCall(ShareCall.Write.class);
        ledger.onWritten(join.number(), 1, now);
        assertEquals(Shares.TOTAL_UNITS / 2, ledger.usableUnits());
        return join.shares();
    }

    private void reportList(String... instances) {
        ledger.onListed(Set.of(instances), now);
    }

    private <T extends ShareCall> T nextCall(Class<T> type) {
        ShareCall call = null;
        while (call == null) {
            now += SECOND / 100;
            assertTrue(now < 3_600 * SECOND, "no call within an hour");
            call = ledger.tick(now).orElse(null);
        }
        return type.cast(assertInstanceOf(type, call));
    }
}
