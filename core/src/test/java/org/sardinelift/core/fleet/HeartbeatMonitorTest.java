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

/** Both ends of one connection in virtual time, one millisecond a step. */
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
    private boolean toAcceptorCut;
    private boolean toOpenerCut;
    private boolean open = true;
    private long frames;

    @ParameterizedTest
    @CsvSource({"true,false", "false,true", "true,true"})
    void aSilentPathIsNoticedWithinItsBoundWhicheverDirectionBroke(
            boolean cutToAcceptor, boolean cutToOpener) {
        run(0, CUT_MS);
        assertTrue(open);
        toAcceptorCut = cutToAcceptor;
        toOpenerCut = cutToOpener;
        run(CUT_MS, BOUND_MS);
        assertFalse(open);
    }

    @Test
    void anIdlePathStaysOpenWithOneExchangeForBothDirections() {
        run(0, 60_000);
        assertTrue(open);
        assertEquals(2 * 60_000 / 750, frames, 2);
    }

    @Test
    void anOpenerThatIsSentReportsButNoAnswersNoticesByItself() {
        for (long ms = 0; ms < BOUND_MS - CUT_MS && open; ms++) {
            opener.onBytesReceived(ms * MILLI);
            check(opener, ms * MILLI);
        }
        assertFalse(open);
    }

    @Test
    void anAcceptorNoticesAFrozenOpenerByItself() {
        for (long ms = 0; ms <= SILENCE.toMillis() + 1 && open; ms++) {
            check(acceptor, ms * MILLI);
        }
        assertFalse(open);
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

    /** Each end wakes only when it is due, as a driver does. */
    private void run(long fromMs, long untilMs) {
        for (long ms = fromMs; ms < untilMs && open; ms++) {
            long now = ms * MILLI;
            deliver(toAcceptor, now)
                    .forEach(
                            sequence -> {
                                open &= acceptor.onBytesReceived(now);
                                send(toOpener, toOpenerCut, sequence, now);
                            });
            deliver(toOpener, now)
                    .forEach(
                            sequence -> {
                                open &= opener.onBytesReceived(now);
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
            open = false;
        } else if (step instanceof HeartbeatAction.SendHeartbeat heartbeat) {
            send(toAcceptor, toAcceptorCut, heartbeat.sequence(), now);
            opener.onHeartbeatWritten(now);
        }
    }

    private void send(List<long[]> way, boolean cut, long sequence, long now) {
        frames++;
        if (!cut) {
            way.add(new long[] {now + DELAY_MS * MILLI, sequence});
        }
    }

    private static List<Long> deliver(List<long[]> way, long now) {
        List<Long> due =
                way.stream().filter(frame -> frame[0] <= now).map(frame -> frame[1]).toList();
        way.removeIf(frame -> frame[0] <= now);
        return due;
    }
}
