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

    private final LeaseMonitor monitor = LeaseMonitor.of(TIMEOUT);
    private final OwnLease ownLease = OwnLease.of(Duration.ofSeconds(4));

    private static long at(int seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }

    private void answerWatchEachSecond(int from, int to) {
        for (int second = from; second <= to; second++) {
            monitor.onWatchAnswered(at(second));
        }
    }

    @Test
    void leaseLapsesWhenItsObjectDoesNotChange() {
        monitor.onWatchAnswered(at(0));
        monitor.onChanged("e1", "first", 1, at(0));
        answerWatchEachSecond(1, 6);
        assertFalse(monitor.hasLapsed(HOLDER, at(6)));
        assertEquals(List.of("e1"), monitor.liveInstances(at(6)));
        monitor.onWatchAnswered(at(7));
        assertTrue(monitor.hasLapsed(HOLDER, at(7)));
        assertEquals(List.of(), monitor.liveInstances(at(7)));
    }

    @Test
    void leaseDoesNotLapseDuringAnOutageOfThePlatform() {
        monitor.onWatchAnswered(at(0));
        monitor.onChanged("e1", "first", 1, at(0));
        monitor.onWatchFailed();
        assertFalse(monitor.hasLapsed(HOLDER, at(600)));
        monitor.onWatchAnswered(at(600));
        assertFalse(monitor.hasLapsed(HOLDER, at(601)));
        answerWatchEachSecond(601, 607);
        assertTrue(monitor.hasLapsed(HOLDER, at(607)));
    }

    @Test
    void oldStateDoesNotRenewAndRestartEndsTheFormerLease() {
        monitor.onWatchAnswered(at(0));
        monitor.onChanged("e1", "first", 5, at(0));
        monitor.onChanged("e1", "first", 4, at(5));
        answerWatchEachSecond(1, 7);
        assertTrue(monitor.hasLapsed(HOLDER, at(7)));
        monitor.onChanged("e1", "second", 6, at(7));
        assertTrue(monitor.hasLapsed(HOLDER, at(7)));
        assertFalse(monitor.hasLapsed(new Holder("e1", "second"), at(7)));
    }

    @Test
    void ownLeaseCountsFromBeforeTheRenewalWasSent() {
        assertFalse(ownLease.isValid(at(0)));
        ownLease.onRenewed(at(1));
        assertTrue(ownLease.isValid(at(4)));
        assertFalse(ownLease.isValid(at(5)));
        assertFalse(ownLease.mayStartRepeatable(at(5)));
    }

    @Test
    void repeatableCallsStartDuringAnOutageOnlyIfSeenRecently() {
        ownLease.onRenewed(at(1));
        ownLease.onUnanswered(at(4));
        assertFalse(ownLease.isValid(at(6)));
        assertTrue(ownLease.mayStartRepeatable(at(6)));
        assertFalse(
                ownLease.mayStartRepeatable(at(9)),
                "the entry may have been paused since the outage was seen");
    }
}
