package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Guards against an entry that spends more than its part of a burst, or less, after units were
 * acquired or released, the answer to a write was lost, or the burst was lowered.
 */
class FleetLimitTest {
    private static final long SECOND = 1_000_000_000;
    private static final long TICK = SECOND / 100;
    private static final TeamPlan PLAN = new TeamPlan("t", 1, 100, Set.of(), Set.of(), 1, 1);
    private static final String PEER = "e2";

    private final FleetLimit limit =
            FleetLimit.create(
                    new MemberId("e1", "i1"), LimitBounds.defaults(), new SplittableRandom(1));
    private final List<ShareCall> calls = new ArrayList<>();
    private final Platform platform = new Platform();
    private Shares shares = Shares.initial();
    private long version;
    private long now = SECOND;
    private Set<String> listed = Set.of("e1", PEER);

    @Test
    void newTeamHasItsPartOfTheBurstAfterUnitsWereReleased() {
        shares = sharesWithFree(Shares.TOTAL_UNITS / 2);
        version = 1;
        run(2 * SECOND);
        assertEquals(Shares.TOTAL_UNITS / 2, limit.ledger().usableUnits());
        run(300 * SECOND);
        limit.ledger().updateDemand(-Shares.TOTAL_UNITS / 10, now);
        limit.tick(now, platform);
        assertEquals(40, admitted());
    }

    @Test
    void unitsUsedBeforeStartWithEmptyBuckets() {
        shares = sharesWithFree(Shares.TOTAL_UNITS / 2);
        version = 1;
        run(2 * SECOND);
        assertEquals(0, admitted());
    }

    @Test
    void unitsStartWithEmptyBucketsIfTheAnswerToTheirCreationWasLost() {
        listed = Set.of("e1");
        platform.answersToLose = 1;
        run(10 * SECOND);
        assertEquals(Shares.TOTAL_UNITS, limit.ledger().usableUnits());
        assertEquals(9, admitted(), 1);
    }

    @Test
    void unitsNeverUsedStartWithFullBuckets() {
        listed = Set.of("e1");
        run(2 * SECOND);
        assertEquals(100, admitted());
    }

    private static Shares sharesWithFree(long units) {
        MemberId peer = new MemberId(PEER, "i1");
        return Shares.initial()
                .addMember(peer, 1)
                .transferFromPool(peer, Shares.TOTAL_UNITS)
                .transferFromPool(peer, -units);
    }

    private int admitted() {
        int count = 0;
        while (limit.tryAdmit(PLAN, now)) {
            count++;
        }
        return count;
    }

    @Test
    void loweredBurstLimitsLoansAtOnce() {
        listed = Set.of("e1");
        run(2 * SECOND);
        limit.onBorrow(PEER, 1, PLAN, 1, now, platform);
        TeamPlan lowerPlan = new TeamPlan("t", 1, 4, Set.of(), Set.of(), 1, 1);

        limit.onBorrow(PEER, 2, lowerPlan, 50, now, platform);

        assertEquals(List.of(1.0, 3.0), platform.lent);
    }

    private void run(long nanos) {
        for (long end = now + nanos; now < end; now += TICK) {
            limit.ledger().onListed(listed, now);
            limit.tick(now, platform);
            List<ShareCall> dueCalls = List.copyOf(calls);
            calls.clear();
            dueCalls.forEach(platform::answer);
        }
    }

    /** Stores the shares of this entry and of one that does nothing. */
    private final class Platform implements LimitActions {
        private int answersToLose;

        void answer(ShareCall call) {
            if (call instanceof ShareCall.Write write) {
                assertEquals(version, write.expectedVersion());
                shares = write.shares();
                version++;
                if (answersToLose-- > 0) {
                    limit.ledger().onFailed(write.number(), now);
                } else {
                    limit.ledger().onWritten(write.number(), version, now);
                }
            } else {
                limit.ledger().onRead(call.number(), version, shares, now);
            }
        }

        private final List<Double> lent = new ArrayList<>();

        @Override
        public void callPlatform(ShareCall call) {
            calls.add(call);
        }

        @Override
        public void answer(long requestId, Admission admission) {}

        @Override
        public void borrow(String peer, long loanId, String team, double tokens) {}

        @Override
        public void lend(String peer, long loanId, String team, double tokens, long ttlMs) {
            lent.add(tokens);
        }
    }
}
