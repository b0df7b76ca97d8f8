package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that takes on calls which it can't get to in time itself. */
class LoopDelayTest {
    private static final long MILLI = 1_000_000;
    private static final long INTERVAL = 50 * MILLI;

    private final LoopDelay delay = LoopDelay.fadingOver(Duration.ofMillis(200));

    @Test
    void aLateTaskShowsTheDelay() {
        delay.onTaskRun(INTERVAL, 0);
        delay.onTaskRun(4 * INTERVAL, 3 * INTERVAL);

        assertEquals(Duration.ofMillis(100), delay.delay(3 * INTERVAL));
    }

    @Test
    void anOverdueTaskShowsTheDelayBeforeItRuns() {
        delay.onTaskRun(INTERVAL, 0);

        assertEquals(Duration.ofMillis(250), delay.delay(6 * INTERVAL));
    }

    @Test
    void theDelayFades() {
        delay.onTaskRun(INTERVAL, 0);
        delay.onTaskRun(100 * INTERVAL, 3 * INTERVAL);

        assertEquals(Duration.ofMillis(50), delay.delay(5 * INTERVAL));
        assertEquals(Duration.ZERO, delay.delay(7 * INTERVAL));
    }

    /** Calls that arrive at a loop which can serve only a part of them. */
    private static final class Loop {
        private static final long CALL_WORK = 10 * MILLI;
        private static final long REFUSAL_WORK = MILLI;
        private static final long OBJECTIVE = 300 * MILLI;
        private final LoopDelay delay = LoopDelay.fadingOver(Duration.ofMillis(200));
        private final Duration maxDelay;
        private int arrived;
        private int inTime;

        Loop(Duration maxDelay) {
            this.maxDelay = maxDelay;
        }

        /** Plays one minute in which the given number of calls arrives each second. */
        double shareInTime(int perSecond) {
            Random random = new Random(3);
            List<Long> arrivals = new ArrayList<>();
            for (double at = 0;
                    at < 60e9;
                    at -= Math.log(1 - random.nextDouble()) * 1e9 / perSecond) {
                arrivals.add((long) at);
            }
            Deque<Long> waiting = new ArrayDeque<>(arrivals);
            long now = 0;
            long due = 0;
            while (!waiting.isEmpty()) {
                if (now >= due) {
                    delay.onTaskRun(now + INTERVAL, now);
                    due = now + INTERVAL;
                }
                now = Math.max(now, Math.min(due, waiting.peek()));
                // A loop handles all that has arrived before it runs the task that is due.
                long turn = now;
                while (!waiting.isEmpty() && waiting.peek() <= turn) {
                    now += handle(waiting.poll(), now);
                }
            }
            return (double) inTime / arrived;
        }

        private long handle(long arrivedAt, long now) {
            arrived++;
            if (delay.delay(now).compareTo(maxDelay) > 0) {
                return REFUSAL_WORK;
            }
            inTime += now + CALL_WORK - arrivedAt <= OBJECTIVE ? 1 : 0;
            return CALL_WORK;
        }
    }

    @Test
    void refusingWhatComesTooLateLetsTheOthersBeInTime() {
        double withoutRefusals = new Loop(Duration.ofDays(1)).shareInTime(150);
        double withRefusals = new Loop(Duration.ofMillis(150)).shareInTime(150);

        // 100 calls a second can be served, of 150.
        assertTrue(withoutRefusals < 0.1, "" + withoutRefusals);
        assertTrue(withRefusals > 0.5, "" + withRefusals);
    }

    @Test
    void nothingIsRefusedWhileTheLoopKeepsUp() {
        assertEquals(1, new Loop(Duration.ofMillis(150)).shareInTime(60), 0.01);
    }
}
