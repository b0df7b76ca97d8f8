package org.sardinelift.core.outcome;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Lost or duplicate frames and lost connections must neither corrupt an answer nor let a call run
 * twice.
 */
class CallAttemptTest {
    private static final int ATTEMPT = 2;

    /** Frames are lost, duplicated, late and out of order; connections break at any point. */
    @Property(seed = "11", tries = 2_000)
    void theCallerReceivesTheCompleteAnswerOrAPrefixOfIt(
            @ForAll @IntRange(max = 200) int length, @ForAll Random random) {
        byte[] body = new byte[length];
        random.nextBytes(body);
        CallAttempt attempt = CallAttempt.begin(ATTEMPT, "i1");
        Wire wire = new Wire(body, random);
        Caller caller = new Caller();
        wire.restart(0);
        for (int step = 0; step < 400 && !attempt.isEnded(); step++) {
            if (!attempt.isAttached()) {
                reconnect(attempt, wire, caller);
            } else if (random.nextInt(12) == 0) {
                attempt.onDisconnected();
            } else {
                caller.take(wire.deliverOne(attempt), wire);
            }
            assertArrayEquals(
                    Arrays.copyOf(body, caller.received.size()),
                    caller.received.toByteArray(),
                    "prefix");
        }
        if (caller.isComplete) {
            assertArrayEquals(body, caller.received.toByteArray());
        }
        assertTrue(caller.headCount <= 1);
    }

    private static void reconnect(CallAttempt attempt, Wire wire, Caller caller) {
        AttemptAction step = attempt.onConnected("i1");
        assertInstanceOf(AttemptAction.QueryState.class, step);
        caller.take(step, wire);
        caller.take(attempt.onStateAnswer(ATTEMPT, AttemptState.RUNNING), wire);
    }

    @Property(seed = "12")
    void aRestartedCompanionNeverMeansNotRun(@ForAll boolean head, @ForAll boolean answersUnknown) {
        CallAttempt attempt = CallAttempt.begin(1, "i1");
        if (head) {
            attempt.onHead(1, 200, Map.of());
        }
        attempt.onDisconnected();
        AttemptAction step = attempt.onConnected(answersUnknown ? "i1" : "i2");
        if (answersUnknown) {
            step = attempt.onStateAnswer(1, AttemptState.UNKNOWN);
        }
        AttemptAction.Failed failed = assertInstanceOf(AttemptAction.Failed.class, step);
        assertEquals(head ? RunOutcome.RUN : RunOutcome.UNKNOWN, failed.outcome());
        assertFalse(failed.outcome().mayRetry(false));
    }

    @Example
    void onlyNotStartedAllowsASecondRunOfAnyCall() {
        CallAttempt attempt = CallAttempt.begin(1, "i1");
        attempt.onDisconnected();
        attempt.onConnected("i1");
        AttemptAction.Failed failed =
                assertInstanceOf(
                        AttemptAction.Failed.class,
                        attempt.onStateAnswer(1, AttemptState.NOT_STARTED));
        assertTrue(failed.outcome().mayRetry(false));
    }

    @Example
    void aLateEndOfAnEarlierAttemptChangesNothing() {
        CallAttempt attempt = CallAttempt.begin(2, "i1");
        AttemptAction step =
                attempt.onFinish(1, 0, RunOutcome.RUN, FailureCause.NONE, "", Duration.ZERO);
        assertInstanceOf(AttemptAction.NoAction.class, step);
        assertFalse(attempt.isEnded());
    }

    /** Body frames on the way to the entry, reordered and some of them lost. */
    private static final class Wire {
        private final byte[] body;
        private final Random random;
        private final List<int[]> frames = new ArrayList<>();

        Wire(byte[] body, Random random) {
            this.body = body;
            this.random = random;
        }

        void restart(int offset) {
            frames.removeIf(frame -> random.nextBoolean());
            frames.add(new int[] {-1, 0});
            for (int at = offset; at < body.length; ) {
                int size = Math.min(body.length - at, 1 + random.nextInt(40));
                frames.add(new int[] {at, size});
                at += size;
            }
            frames.add(new int[] {-2, 0});
        }

        AttemptAction deliverOne(CallAttempt attempt) {
            if (frames.isEmpty()) {
                return new AttemptAction.QueryState(attempt.receivedBytes());
            }
            boolean isOldAttempt = random.nextInt(10) == 0;
            int number = isOldAttempt ? ATTEMPT - 1 : ATTEMPT;
            int index = random.nextInt(6) == 0 ? random.nextInt(frames.size()) : 0;
            int[] frame = isOldAttempt ? frames.get(index) : take(index);
            if (frame[0] == -1) {
                return attempt.onHead(number, 200, Map.of());
            }
            if (frame[0] == -2) {
                return attempt.onFinish(
                        number, body.length, RunOutcome.RUN, FailureCause.NONE, "", Duration.ZERO);
            }
            byte[] part = Arrays.copyOfRange(body, frame[0], frame[0] + frame[1]);
            return attempt.onData(number, frame[0], part);
        }

        private int[] take(int index) {
            return random.nextInt(10) == 0 ? frames.get(index) : frames.remove(index);
        }
    }

    /** What the caller received. */
    private static final class Caller {
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
        int headCount;
        boolean isComplete;

        void take(AttemptAction step, Wire wire) {
            if (step instanceof AttemptAction.ResponseHead) {
                headCount++;
            } else if (step instanceof AttemptAction.BodyPart deliver) {
                received.writeBytes(deliver.part());
            } else if (step instanceof AttemptAction.Completed) {
                isComplete = true;
            } else if (step instanceof AttemptAction.QueryState ask) {
                wire.restart((int) ask.offset());
            }
        }
    }
}
