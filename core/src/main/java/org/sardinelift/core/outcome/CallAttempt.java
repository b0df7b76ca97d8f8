package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;

/**
 * One attempt of a call on one target, at the entry. Ignores events whose attempt number or body
 * offset does not match, so that late, duplicate and out-of-order frames change nothing.
 */
public final class CallAttempt {
    private static final AttemptAction NO_ACTION = new AttemptAction.NoAction();

    private final int number;
    private final String incarnation;
    private long receivedBytes;
    private boolean hasHead;
    private boolean isAttached = true;
    private boolean isEnded;

    private CallAttempt(int number, String incarnation) {
        this.number = number;
        this.incarnation = incarnation;
    }

    /**
     * Creates an attempt whose start was handed to the connection.
     *
     * @param number attempt number, from 1
     * @param incarnation incarnation of the companion at the other end
     * @return the attempt
     */
    public static CallAttempt begin(int number, String incarnation) {
        return new CallAttempt(number, incarnation);
    }

    /**
     * Returns the attempt number.
     *
     * @return number from 1
     */
    public int number() {
        return number;
    }

    /**
     * Returns the number of body bytes accepted so far.
     *
     * @return number of bytes
     */
    public long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns whether the attempt has ended.
     *
     * @return true after a step that ends it
     */
    public boolean isEnded() {
        return isEnded;
    }

    /**
     * Returns whether the attempt has a connection.
     *
     * @return false between the loss of a connection and the next one
     */
    public boolean isAttached() {
        return isAttached;
    }

    /**
     * Status and headers arrived.
     *
     * @param attempt attempt number in the frame
     * @param status HTTP status code
     * @param headers answer headers
     * @return the action required
     */
    public AttemptAction onHead(int attempt, int status, Map<String, String> headers) {
        if (isIgnored(attempt) || hasHead) {
            return NO_ACTION;
        }
        hasHead = true;
        return new AttemptAction.ResponseHead(status, headers);
    }

    /**
     * A part of the body arrived.
     *
     * @param attempt attempt number in the frame
     * @param offset body offset of the first byte
     * @param part body bytes
     * @return the action required; a part after a gap is dropped and queried again
     */
    public AttemptAction onData(int attempt, long offset, byte[] part) {
        if (isIgnored(attempt) || offset + part.length <= receivedBytes) {
            return NO_ACTION;
        }
        if (offset > receivedBytes || !hasHead) {
            return new AttemptAction.QueryState(receivedBytes);
        }
        byte[] unseen = Arrays.copyOfRange(part, (int) (receivedBytes - offset), part.length);
        receivedBytes += unseen.length;
        return new AttemptAction.BodyPart(unseen);
    }

    /**
     * The companion reported that the attempt has ended.
     *
     * @param attempt attempt number in the frame
     * @param length length of the complete body, bytes
     * @param outcome whether the call was run
     * @param cause why it ended, {@link FailureCause#NONE} for a complete answer of the target
     * @param detail description of the failure
     * @param retryAfter time after which to retry; zero if unknown
     * @return the action required; an end after a gap is dropped and queried again
     */
    public AttemptAction onFinish(
            int attempt,
            long length,
            RunOutcome outcome,
            FailureCause cause,
            String detail,
            Duration retryAfter) {
        if (isIgnored(attempt)) {
            return NO_ACTION;
        }
        if (cause != FailureCause.NONE) {
            return end(new AttemptAction.Failed(outcome, cause, detail, retryAfter));
        }
        if (length != receivedBytes || !hasHead) {
            return new AttemptAction.QueryState(receivedBytes);
        }
        return end(new AttemptAction.Completed());
    }

    /** The connection was closed or has become silent. */
    public void onDisconnected() {
        isAttached = false;
    }

    /**
     * A new connection to the companion was opened.
     *
     * @param peerIncarnation incarnation of the companion at the other end
     * @return the action required; a restarted companion cannot know the attempt, so the attempt
     *     fails
     */
    public AttemptAction onConnected(String peerIncarnation) {
        if (isEnded || isAttached) {
            return NO_ACTION;
        }
        isAttached = true;
        return peerIncarnation.equals(incarnation)
                ? new AttemptAction.QueryState(receivedBytes)
                : failLost("the companion was restarted while the call was with it");
    }

    /**
     * The companion answered the query for the attempt's state.
     *
     * @param attempt attempt number in the frame
     * @param state the state
     * @return the action required
     */
    public AttemptAction onStateAnswer(int attempt, AttemptState state) {
        if (isIgnored(attempt)) {
            return NO_ACTION;
        }
        return switch (state) {
            case NOT_STARTED ->
                    end(
                            new AttemptAction.Failed(
                                    receivedBytes > 0 || hasHead
                                            ? RunOutcome.UNKNOWN
                                            : RunOutcome.NOT_RUN,
                                    FailureCause.CONNECTION_LOST,
                                    "the call was lost on its way to the companion",
                                    Duration.ZERO));
            case RUNNING, FINISHED -> NO_ACTION;
            case UNKNOWN -> failLost("the companion no longer knows the call");
        };
    }

    /**
     * No new connection was opened in time.
     *
     * @return the action required
     */
    public AttemptAction onReattachTimeout() {
        return isEnded || isAttached
                ? NO_ACTION
                : failLost("the connection to the companion was lost");
    }

    /**
     * The call's deadline passed or its caller disconnected.
     *
     * @param cause why the attempt is abandoned
     * @param detail description of this case
     * @return the action required
     */
    public AttemptAction onAbandoned(FailureCause cause, String detail) {
        return isEnded
                ? NO_ACTION
                : end(
                        new AttemptAction.Failed(
                                hasHead ? RunOutcome.RUN : RunOutcome.UNKNOWN,
                                cause,
                                detail,
                                Duration.ZERO));
    }

    private AttemptAction failLost(String detail) {
        return end(
                new AttemptAction.Failed(
                        hasHead ? RunOutcome.RUN : RunOutcome.UNKNOWN,
                        FailureCause.CONNECTION_LOST,
                        detail,
                        Duration.ZERO));
    }

    private AttemptAction end(AttemptAction finalStep) {
        isEnded = true;
        return finalStep;
    }

    private boolean isIgnored(int attempt) {
        return isEnded || attempt != number;
    }
}
