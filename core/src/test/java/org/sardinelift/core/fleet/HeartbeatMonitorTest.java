package org.sardinelift.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A silent connection must be closed in time, whichever direction broke. Both ends run in virtual
 * time, in steps of one millisecond.
 */
class HeartbeatMonitorTest {
    private static final Duration HEARTBEAT = Duration.ofMillis(750);
    private static final Duration SILENCE = Duration.ofMillis(2_000);
    private static final long MILLI = 1_000_000;
    private static final long DELAY_MS = 3;
    private static final long CUT_MS = 10_000;
    private static final long BOUND_MS = CUT_MS + 2 * DELAY_MS + 2_000 + 750 + 1;

    private final HeartbeatMonitor opener = HeartbeatMonitor.ofOpener(HEARTBEAT, SILENCE, 0);
    private final HeartbeatMonitor acceptor = HeartbeatMonitor.ofAcceptor(SILENCE, 0);
    private final List<long[]> toAcceptor = new ArrayList<>();
    private final List<long[]> toOpener = new ArrayList<>();
    private boolean isToAcceptorCut;
    private boolean isToOpenerCut;
    private boolean isOpen = true;
    private long sentFrames;

    @ParameterizedTest
    @CsvSource({"true,false", "false,true", "true,true"})
    void aSilentPathIsNoticedWithinItsBoundWhicheverDirectionBroke(
            boolean cutToAcceptor, boolean cutToOpener) {
        run(0, CUT_MS);
        assertTrue(isOpen);
        isToAcceptorCut = cutToAcceptor;
        isToOpenerCut = cutToOpener;
        run(CUT_MS, BOUND_MS);
        assertFalse(isOpen);
    }

    @Test
    void anIdlePathStaysOpenWithOneExchangeForBothDirections() {
        run(0, 60_000);
        assertTrue(isOpen);
        assertEquals(2 * 60_000 / 750, sentFrames, 2);
    }

    @Test
    void anOpenerThatIsSentReportsButNoAnswersNoticesByItself() {
        for (long ms = 0; ms < BOUND_MS - CUT_MS && isOpen; ms++) {
            opener.onBytesReceived(ms * MILLI);
            check(opener, ms * MILLI);
        }
        assertFalse(isOpen);
    }

    @Test
    void anAcceptorNoticesAFrozenOpenerByItself() {
        for (long ms = 0; ms <= SILENCE.toMillis() + 1 && isOpen; ms++) {
            check(acceptor, ms * MILLI);
        }
        assertFalse(isOpen);
    }

    @Test
    void bytesThatComeAfterASilenceAreNotTaken() {
        assertTrue(acceptor.onBytesReceived(SILENCE.toNanos()));
        assertFalse(acceptor.onBytesReceived(2 * SILENCE.toNanos() + 1));
    }

    @Test
    void anAcceptorWakesOnlyWhenSilenceCouldBeDue() {
        acceptor.onBytesReceived(500 * MILLI);
        assertEquals(SILENCE.toNanos() + 1, acceptor.nextCheckInNanos(500 * MILLI));
        assertEquals(HEARTBEAT.toNanos(), opener.nextCheckInNanos(0));
    }

    /** Checks each end only when a check is due, as the connection does. */
    private void run(long fromMs, long untilMs) {
        for (long ms = fromMs; ms < untilMs && isOpen; ms++) {
            long now = ms * MILLI;
            deliver(toAcceptor, now)
                    .forEach(
                            sequence -> {
                                isOpen &= acceptor.onBytesReceived(now);
                                send(toOpener, isToOpenerCut, sequence, now);
                            });
            deliver(toOpener, now)
                    .forEach(
                            sequence -> {
                                isOpen &= opener.onBytesReceived(now);
                                opener.onHeartbeatAnswered(sequence, now);
                            });
            check(opener, now);
            check(acceptor, now);
        }
    }

    private void check(HeartbeatMonitor end, long now) {
        if (end.nextCheckInNanos(now) > 1) {
            return;
        }
        HeartbeatAction step = end.check(now);
        if (step instanceof HeartbeatAction.Close) {
            isOpen = false;
        } else if (step instanceof HeartbeatAction.SendHeartbeat heartbeat) {
            send(toAcceptor, isToAcceptorCut, heartbeat.sequence(), now);
            opener.onHeartbeatWritten(now);
        }
    }

    private void send(List<long[]> frames, boolean isCut, long sequence, long now) {
        sentFrames++;
        if (!isCut) {
            frames.add(new long[] {now + DELAY_MS * MILLI, sequence});
        }
    }

    private static List<Long> deliver(List<long[]> frames, long now) {
        List<Long> due =
                frames.stream().filter(frame -> frame[0] <= now).map(frame -> frame[1]).toList();
        frames.removeIf(frame -> frame[0] <= now);
        return due;
    }
}
