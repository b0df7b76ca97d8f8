package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;

/**
 * One attempt of a call on one target, as the entry sees it. Takes an event only where attempt
 * number and body offset fit, so that late, doubled and crossed frames change nothing.
 */
public final class CallAttempt {
    private static final AttemptStep NOTHING = new AttemptStep.NoAction();

    private final int number;
    private final String incarnation;
    private long receivedBytes;
    private boolean answered;
    private boolean isAttached = true;
    private boolean isEnded;

    private CallAttempt(int number, String incarnation) {
        this.number = number;
        this.incarnation = incarnation;
    }

    /**
     * An attempt whose start was handed to the connection.
     *
     * @param number attempt number, from 1
     * @param incarnation incarnation of the companion at the other end
     * @return the attempt
     */
    public static CallAttempt begin(int number, String incarnation) {
        return new CallAttempt(number, incarnation);
    }

    /**
     * The attempt number.
     *
     * @return number from 1
     */
    public int number() {
        return number;
    }

    /**
     * Body bytes taken so far.
     *
     * @return their number
     */
    public long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Whether the attempt has ended.
     *
     * @return true once a step ended it
     */
    public boolean isEnded() {
        return isEnded;
    }

    /**
     * Whether a connection carries the attempt.
     *
     * @return false between the loss of a connection and the next one
     */
    public boolean isAttached() {
        return isAttached;
    }

    /**
     * Status and headers have come.
     *
     * @param attempt attempt number in the frame
     * @param status HTTP status code
     * @param headers answer headers
     * @return what follows
     */
    public AttemptStep onHead(int attempt, int status, Map<String, String> headers) {
        if (stranger(attempt) || answered) {
            return NOTHING;
        }
        answered = true;
        return new AttemptStep.ResponseHead(status, headers);
    }

    /**
     * A part of the body has come.
     *
     * @param attempt attempt number in the frame
     * @param offset body offset of the first byte
     * @param part body bytes
     * @return what follows; a part that lies beyond a gap is dropped and asked for again
     */
    public AttemptStep onData(int attempt, long offset, byte[] part) {
        if (stranger(attempt) || offset + part.length <= receivedBytes) {
            return NOTHING;
        }
        if (offset > receivedBytes || !answered) {
            return new AttemptStep.QueryState(receivedBytes);
        }
        byte[] fresh = Arrays.copyOfRange(part, (int) (receivedBytes - offset), part.length);
        receivedBytes += fresh.length;
        return new AttemptStep.BodyPart(fresh);
    }

    /**
     * The companion says that the attempt has ended.
     *
     * @param attempt attempt number in the frame
     * @param length length of the whole body, bytes
     * @param outcome whether the call was run
     * @param cause why it ended, {@link FailureCause#NONE} for the target's whole answer
     * @param detail what was wrong in this case
     * @param retryAfter when to come back; zero where it is not known
     * @return what follows; an end that lies beyond a gap is dropped and asked for again
     */
    public AttemptStep onFinish(
            int attempt,
            long length,
            RunOutcome outcome,
            FailureCause cause,
            String detail,
            Duration retryAfter) {
        if (stranger(attempt)) {
            return NOTHING;
        }
        if (cause != FailureCause.NONE) {
            return end(new AttemptStep.Failed(outcome, cause, detail, retryAfter));
        }
        if (length != receivedBytes || !answered) {
            return new AttemptStep.QueryState(receivedBytes);
        }
        return end(new AttemptStep.Completed());
    }

    /** The connection is closed or has gone silent. */
    public void onDisconnected() {
        isAttached = false;
    }

    /**
     * A new connection to the companion is up.
     *
     * @param peerIncarnation incarnation of the companion at the other end
     * @return what follows: a companion that started anew can't know the attempt
     */
    public AttemptStep onConnected(String peerIncarnation) {
        if (isEnded || isAttached) {
            return NOTHING;
        }
        isAttached = true;
        return peerIncarnation.equals(incarnation)
                ? new AttemptStep.QueryState(receivedBytes)
                : lost("the companion was restarted while the call was with it");
    }

    /**
     * The companion has answered what became of the attempt.
     *
     * @param attempt attempt number in the frame
     * @param state what became of it
     * @return what follows
     */
    public AttemptStep onStateAnswer(int attempt, AttemptState state) {
        if (stranger(attempt)) {
            return NOTHING;
        }
        return switch (state) {
            case NOT_STARTED ->
                    end(
                            new AttemptStep.Failed(
                                    receivedBytes > 0 || answered
                                            ? RunOutcome.UNKNOWN
                                            : RunOutcome.NOT_RUN,
                                    FailureCause.CONNECTION_LOST,
                                    "the call was lost on its way to the companion",
                                    Duration.ZERO));
            case RUNNING, FINISHED -> NOTHING;
            case UNKNOWN -> lost("the companion no longer knows the call");
        };
    }

    /**
     * No new connection came in time.
     *
     * @return what follows
     */
    public AttemptStep onReattachTimeout() {
        return isEnded || isAttached ? NOTHING : lost("the connection to the companion was lost");
    }

    /**
     * The call's deadline has passed or its caller has gone.
     *
     * @param cause why
     * @param detail what was wrong in this case
     * @return what follows
     */
    public AttemptStep onAbandoned(FailureCause cause, String detail) {
        return isEnded
                ? NOTHING
                : end(
                        new AttemptStep.Failed(
                                answered ? RunOutcome.RUN : RunOutcome.UNKNOWN,
                                cause,
                                detail,
                                Duration.ZERO));
    }

    private AttemptStep lost(String detail) {
        return end(
                new AttemptStep.Failed(
                        answered ? RunOutcome.RUN : RunOutcome.UNKNOWN,
                        FailureCause.CONNECTION_LOST,
                        detail,
                        Duration.ZERO));
    }

    private AttemptStep end(AttemptStep last) {
        isEnded = true;
        return last;
    }

    private boolean stranger(int attempt) {
        return isEnded || attempt != number;
    }
}
