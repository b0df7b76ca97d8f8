package org.sardinelift.core.outcome;

/**
 * What is kept of a call that its caller named by an Idempotency-Key.
 *
 * @param mark unique mark of the request that wrote the intent
 * @param fingerprint hash of the request
 * @param state what became of it
 * @param untilMs time since the epoch past which a call still noted as running is given up,
 *     milliseconds
 * @param status HTTP status of the answer, 0 without one
 * @param contentType content type of the answer, empty without one
 * @param body the answer, empty without one
 * @param isBodyKept whether the whole answer was small enough to be kept
 */
public record IdempotencyRecord(
        String intentId,
        String fingerprint,
        State state,
        long giveUpAtMs,
        int status,
        String contentType,
        byte[] body,
        boolean isBodyKept) {

    /** What became of a call. */
    public enum State {
        /** The intent is written; the call may be running. */
        RUNNING,
        /** The call was run and answered. */
        FINISHED,
        /** Nobody can tell whether the call was run to its end. */
        UNCLEAR
    }

    /** What a resent call gets. */
    public enum Resolution {
        /** The key was used for another request. */
        KEY_REUSED,
        /** The first call is still running. */
        STILL_RUNNING,
        /** The recorded answer. */
        REPLAY,
        /** The first call's outcome is unknown, for good. */
        OUTCOME_UNKNOWN,
        /** The first call was given up; that is to be noted before it is said. */
        GIVE_UP
    }

    private static final byte[] NO_BODY = {};

    /**
     * The intent of a call, written before it is run.
     *
     * @param mark unique mark
     * @param fingerprint hash of the request
     * @param untilMs time past which the call is given up, milliseconds since the epoch
     * @return the intent
     */
    public static IdempotencyRecord intent(String mark, String fingerprint, long untilMs) {
        return new IdempotencyRecord(
                mark, fingerprint, State.RUNNING, untilMs, 0, "", NO_BODY, false);
    }

    /**
     * The record once the answer is known.
     *
     * @param answerStatus HTTP status
     * @param answerType content type
     * @param answer the answer, empty where it is too large
     * @param kept whether the whole answer is part of the record
     * @return the finished record
     */
    public IdempotencyRecord finished(
            int answerStatus, String answerType, byte[] answer, boolean kept) {
        return new IdempotencyRecord(
                intentId,
                fingerprint,
                State.FINISHED,
                giveUpAtMs,
                answerStatus,
                answerType,
                answer,
                kept);
    }

    /**
     * The record of a call whose outcome nobody can tell.
     *
     * @return the unclear record
     */
    public IdempotencyRecord unclear() {
        return new IdempotencyRecord(
                intentId, fingerprint, State.UNCLEAR, giveUpAtMs, 0, "", NO_BODY, false);
    }

    /**
     * Decides what a resent call gets; it is never run a second time.
     *
     * @param resent hash of the resent request
     * @param nowMs time since the epoch, milliseconds
     * @return the verdict
     */
    public Resolution resolve(String resent, long nowMs) {
        if (!fingerprint.equals(resent)) {
            return Resolution.KEY_REUSED;
        }
        return switch (state) {
            case RUNNING -> nowMs < giveUpAtMs ? Resolution.STILL_RUNNING : Resolution.GIVE_UP;
            case FINISHED -> Resolution.REPLAY;
            case UNCLEAR -> Resolution.OUTCOME_UNKNOWN;
        };
    }
}
