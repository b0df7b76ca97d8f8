package org.sardinelift.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final Holder HOLDER = new Holder("e1", "first");

    private final LeaseMonitor watch = LeaseMonitor.of(TIMEOUT);
    private final OwnLease hold = OwnLease.of(Duration.ofSeconds(4));

    private static long at(int seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }

    private void watchedEachSecond(int from, int to) {
        for (int second = from; second <= to; second++) {
            watch.onWatchAnswered(at(second));
        }
    }

    @Test
    void aLeaseLapsesOnceItsObjectStandsStill() {
        watch.onWatchAnswered(at(0));
        watch.onChanged("e1", "first", 1, at(0));
        watchedEachSecond(1, 6);
        assertFalse(watch.hasLapsed(HOLDER, at(6)));
        assertEquals(List.of("e1"), watch.liveInstances(at(6)));
        watch.onWatchAnswered(at(7));
        assertTrue(watch.hasLapsed(HOLDER, at(7)));
        assertEquals(List.of(), watch.liveInstances(at(7)));
    }

    @Test
    void anOutageMakesNoLeaseLapse() {
        watch.onWatchAnswered(at(0));
        watch.onChanged("e1", "first", 1, at(0));
        watch.onWatchFailed();
        assertFalse(watch.hasLapsed(HOLDER, at(600)));
        watch.onWatchAnswered(at(600));
        assertFalse(watch.hasLapsed(HOLDER, at(601)));
        watchedEachSecond(601, 607);
        assertTrue(watch.hasLapsed(HOLDER, at(607)));
    }

    @Test
    void aStaleStateRenewsNothingAndARestartVoidsTheFormerLease() {
        watch.onWatchAnswered(at(0));
        watch.onChanged("e1", "first", 5, at(0));
        watch.onChanged("e1", "first", 4, at(5));
        watchedEachSecond(1, 7);
        assertTrue(watch.hasLapsed(HOLDER, at(7)));
        watch.onChanged("e1", "second", 6, at(7));
        assertTrue(watch.hasLapsed(HOLDER, at(7)));
        assertFalse(watch.hasLapsed(new Holder("e1", "second"), at(7)));
    }

    @Test
    void ownTimeCountsFromBeforeTheRenewalWasSent() {
        assertFalse(hold.isValid(at(0)));
        hold.onRenewed(at(1));
        assertTrue(hold.isValid(at(4)));
        assertFalse(hold.isValid(at(5)));
        assertFalse(hold.mayStartRepeatable(at(5)));
    }

    @Test
    void repeatableCallsGoOnOnlyThroughAnOutageSeenLately() {
        hold.onRenewed(at(1));
        hold.onUnanswered(at(4));
        assertFalse(hold.isValid(at(6)));
        assertTrue(hold.mayStartRepeatable(at(6)));
        assertFalse(hold.mayStartRepeatable(at(9)), "paused since");
    }
}
