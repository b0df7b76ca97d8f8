package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadTrackerTest {
    private static final long MILLI = 1_000_000;

    private final LoadTracker board =
            LoadTracker.create(Duration.ofMillis(1_200), Duration.ofMillis(400));

    @Test
    void addsOwnCallsAndThoseReported() {
        board.onOwnCallsChanged("a", new TargetCalls(1, 0));
        board.onReport("g2", Map.of("a", new TargetCalls(2, 1), "b", new TargetCalls(1, 0)), 0);
        board.onReport("w1", Map.of("a", new TargetCalls(0, 3)), 0);

        assertEquals(new TargetCalls(3, 4), board.knownCalls("a", 0));
        assertEquals(new TargetCalls(1, 0), board.knownCalls("b", 0));
        assertEquals(Map.of("g2", 1, "w1", 3), board.batchItemsByInstance("a"));
    }

    @Test
    void aReportReplacesTheOneBefore() {
        board.onReport("g2", Map.of("a", new TargetCalls(2, 0)), 0);
        board.onReport("g2", Map.of("b", new TargetCalls(1, 0)), MILLI);

        assertEquals(TargetCalls.NONE, board.knownCalls("a", MILLI));
    }

    @Test
    void theReportOfALostInstanceExpires() {
        board.onReport("g2", Map.of("a", new TargetCalls(2, 0)), 0);

        board.expire(1_199 * MILLI);
        assertEquals(2, board.knownCalls("a", 1_199 * MILLI).online());
        board.expire(1_200 * MILLI);
        assertEquals(0, board.knownCalls("a", 1_200 * MILLI).online());
    }

    @Test
    void endedCallsLeaveNothing() {
        board.onOwnCallsChanged("a", new TargetCalls(1, 0));
        board.onOwnCallsChanged("a", new TargetCalls(-1, 0));

        assertEquals(Map.of(), board.ownCallsByTarget());
    }

    @Test
    void oneStatementBeyondTheKnownCallsMayHaveCrossedAReport() {
        board.onTargetLoad("a", 3, 0);
        assertEquals(0, board.knownCalls("a", 0).online());

        board.onTargetLoad("a", 2, MILLI);
        assertEquals(2, board.knownCalls("a", MILLI).online());
    }

    @Test
    void statedLoadCountsForAWhileOnly() {
        board.onTargetLoad("a", 3, 0);
        board.onTargetLoad("a", 3, MILLI);

        assertEquals(0, board.knownCalls("a", 401 * MILLI).online());
    }

    @Test
    void knownCallsAreNotCountedTwice() {
        board.onOwnCallsChanged("a", new TargetCalls(2, 0));
        board.onTargetLoad("a", 2, 0);
        board.onTargetLoad("a", 2, MILLI);

        assertEquals(2, board.knownCalls("a", MILLI).online());
    }
}
