package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Calls must be counted once, whether this instance, another one or the target reports them. */
class LoadTrackerTest {
    private static final long MILLI = 1_000_000;

    private final LoadTracker tracker =
            LoadTracker.create(Duration.ofMillis(1_200), Duration.ofMillis(400));

    @Test
    void addsOwnAndReportedCalls() {
        tracker.onOwnCallsChanged("a", new TargetCalls(1, 0));
        tracker.onReport("g2", Map.of("a", new TargetCalls(2, 1), "b", new TargetCalls(1, 0)), 0);
        tracker.onReport("w1", Map.of("a", new TargetCalls(0, 3)), 0);

        assertEquals(new TargetCalls(3, 4), tracker.knownCalls("a", 0));
        assertEquals(new TargetCalls(1, 0), tracker.knownCalls("b", 0));
        assertEquals(Map.of("g2", 1, "w1", 3), tracker.batchItemsByInstance("a"));
    }

    @Test
    void aReportReplacesTheOneBefore() {
        tracker.onReport("g2", Map.of("a", new TargetCalls(2, 0)), 0);
        tracker.onReport("g2", Map.of("b", new TargetCalls(1, 0)), MILLI);

        assertEquals(TargetCalls.NONE, tracker.knownCalls("a", MILLI));
    }

    @Test
    void theReportOfALostInstanceExpires() {
        tracker.onReport("g2", Map.of("a", new TargetCalls(2, 0)), 0);

        tracker.expire(1_199 * MILLI);
        assertEquals(2, tracker.knownCalls("a", 1_199 * MILLI).online());
        tracker.expire(1_200 * MILLI);
        assertEquals(0, tracker.knownCalls("a", 1_200 * MILLI).online());
    }

    @Test
    void endedCallsAreNotListed() {
        tracker.onOwnCallsChanged("a", new TargetCalls(1, 0));
        tracker.onOwnCallsChanged("a", new TargetCalls(-1, 0));

        assertEquals(Map.of(), tracker.ownCallsByTarget());
    }

    @Test
    void unreportedCallsCountOnceATargetStatedThemTwice() {
        tracker.onTargetLoad("a", 3, 0);
        assertEquals(0, tracker.knownCalls("a", 0).online());

        tracker.onTargetLoad("a", 2, MILLI);
        assertEquals(2, tracker.knownCalls("a", MILLI).online());
    }

    @Test
    void unreportedCallsExpire() {
        tracker.onTargetLoad("a", 3, 0);
        tracker.onTargetLoad("a", 3, MILLI);

        assertEquals(0, tracker.knownCalls("a", 401 * MILLI).online());
    }

    @Test
    void knownCallsAreNotCountedTwice() {
        tracker.onOwnCallsChanged("a", new TargetCalls(2, 0));
        tracker.onTargetLoad("a", 2, 0);
        tracker.onTargetLoad("a", 2, MILLI);

        assertEquals(2, tracker.knownCalls("a", MILLI).online());
    }
}
