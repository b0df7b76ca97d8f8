package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadBoardTest {
    private static final long MILLI = 1_000_000;

    private final LoadBoard board =
            LoadBoard.create(Duration.ofMillis(1_200), Duration.ofMillis(400));

    @Test
    void addsOwnCallsAndThoseReported() {
        board.onOwn("a", new Use(1, 0));
        board.onReport("g2", Map.of("a", new Use(2, 1), "b", new Use(1, 0)), 0);
        board.onReport("w1", Map.of("a", new Use(0, 3)), 0);

        assertEquals(new Use(3, 4), board.use("a", 0));
        assertEquals(new Use(1, 0), board.use("b", 0));
        assertEquals(Map.of("g2", 1, "w1", 3), board.batchByInstance("a"));
    }

    @Test
    void aReportReplacesTheOneBefore() {
        board.onReport("g2", Map.of("a", new Use(2, 0)), 0);
        board.onReport("g2", Map.of("b", new Use(1, 0)), MILLI);

        assertEquals(Use.NONE, board.use("a", MILLI));
    }

    @Test
    void theReportOfALostInstanceExpires() {
        board.onReport("g2", Map.of("a", new Use(2, 0)), 0);

        board.expire(1_199 * MILLI);
        assertEquals(2, board.use("a", 1_199 * MILLI).online());
        board.expire(1_200 * MILLI);
        assertEquals(0, board.use("a", 1_200 * MILLI).online());
    }

    @Test
    void endedCallsLeaveNothing() {
        board.onOwn("a", new Use(1, 0));
        board.onOwn("a", new Use(-1, 0));

        assertEquals(Map.of(), board.ownUses());
    }

    @Test
    void oneStatementBeyondTheKnownCallsMayHaveCrossedAReport() {
        board.onStated("a", 3, 0);
        assertEquals(0, board.use("a", 0).online());

        board.onStated("a", 2, MILLI);
        assertEquals(2, board.use("a", MILLI).online());
    }

    @Test
    void statedLoadCountsForAWhileOnly() {
        board.onStated("a", 3, 0);
        board.onStated("a", 3, MILLI);

        assertEquals(0, board.use("a", 401 * MILLI).online());
    }

    @Test
    void knownCallsAreNotCountedTwice() {
        board.onOwn("a", new Use(2, 0));
        board.onStated("a", 2, 0);
        board.onStated("a", 2, MILLI);

        assertEquals(2, board.use("a", MILLI).online());
    }
}
