package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

class FleetLimitTest {
    private static final long SECOND = 1_000_000_000;
    private static final long TICK = SECOND / 100;
    private static final TeamPlan PLAN = new TeamPlan("t", 1, 100, Set.of(), Set.of(), 1, 1);
    private static final String OTHER = "e2";

    private final FleetLimit limit =
            FleetLimit.create(
                    new MemberId("e1", "i1"), LimitBounds.defaults(), new SplittableRandom(1));
    private final List<ShareCall> calls = new ArrayList<>();
    private final Platform platform = new Platform();
    private Shares shares = Shares.initial();
    private long version;
    private long now = SECOND;
    private Set<String> listed = Set.of("e1", OTHER);

    @Test
    void aTeamSeenForTheFirstTimeAfterUnitsWereGivenAwayHasItsPartOfTheBurst() {
        shares = held(Shares.TOTAL_UNITS / 2);
        version = 1;
        run(2 * SECOND);
        assertEquals(Shares.TOTAL_UNITS / 2, limit.ledger().usableUnits());
        run(300 * SECOND);
        limit.ledger().updateDemand(-Shares.TOTAL_UNITS / 10, now);
        limit.tick(now, platform);
        assertEquals(40, admitted());
    }

    @Test
    void unitsThatWereHeldBeforeComeEmpty() {
        shares = held(Shares.TOTAL_UNITS / 2);
        version = 1;
        run(2 * SECOND);
        assertEquals(0, admitted());
    }

    @Test
    void unitsOfACreationWhoseAnswerWasLostComeEmpty() {
        listed = Set.of("e1");
        platform.lostAnswers = 1;
        run(10 * SECOND);
        assertEquals(Shares.TOTAL_UNITS, limit.ledger().usableUnits());
        assertEquals(9, admitted(), 1);
    }

    @Test
    void unitsThatNobodyHeldComeFull() {
        listed = Set.of("e1");
        run(2 * SECOND);
        assertEquals(100, admitted());
    }

    private static Shares held(long units) {
        MemberId other = new MemberId(OTHER, "i1");
        return Shares.initial()
                .addMember(other, 1)
                .transferFromPool(other, Shares.TOTAL_UNITS)
                .transferFromPool(other, -units);
    }

    private int admitted() {
        int count = 0;
        while (limit.tryAdmit(PLAN, now)) {
            count++;
        }
        return count;
    }

    @Test
    void aLowerBurstHoldsForLoansAtOnce() {
        listed = Set.of("e1");
        run(2 * SECOND);
        limit.onBorrow(OTHER, 1, PLAN, 1, now, platform);
        TeamPlan lower = new TeamPlan("t", 1, 4, Set.of(), Set.of(), 1, 1);

        limit.onBorrow(OTHER, 2, lower, 50, now, platform);

        assertEquals(List.of(1.0, 3.0), platform.lent);
    }

    private void run(long nanos) {
        for (long end = now + nanos; now < end; now += TICK) {
            limit.ledger().onListed(listed, now);
            limit.tick(now, platform);
            List<ShareCall> due = List.copyOf(calls);
            calls.clear();
            due.forEach(platform::answer);
        }
    }

    /** The shares of this entry and of one that does nothing. */
    private final class Platform implements LimitActions {
        private int lostAnswers;

        void answer(ShareCall call) {
            if (call instanceof ShareCall.Write write) {
                assertEquals(version, write.expectedVersion());
                shares = write.shares();
                version++;
                if (lostAnswers-- > 0) {
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
        public void answer(long ticket, Admission admission) {}

        @Override
        public void borrow(String peer, long exchange, String team, double tokens) {}

        @Override
        public void lend(String peer, long exchange, String team, double tokens, long ttlMs) {
            lent.add(tokens);
        }
    }
}
