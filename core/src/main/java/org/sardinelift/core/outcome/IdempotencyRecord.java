package org.sardinelift.core.outcome;

/**
 * Stored record of a call with an Idempotency-Key.
 *
 * @param intentId unique id of the request that wrote the intent
 * @param fingerprint hash of the request
 * @param state state of the call
 * @param giveUpAtMs time since the epoch after which a call still recorded as running is given up,
 *     milliseconds
 * @param status HTTP status of the answer, 0 if there is none
 * @param contentType content type of the answer, empty if there is none
 * @param body body of the answer, empty if there is none
 * @param isBodyKept whether the complete answer was small enough to be stored
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

    /** State of a call. */
    public enum State {
        /** The intent is written; the call may be running. */
        RUNNING,
        /** The call was run and answered. */
        FINISHED,
        /** It is unknown whether the call was run to its end. */
        UNCLEAR
    }

    /** What a repeated call is answered with. */
    public enum Resolution {
        /** The key was used for another request. */
        KEY_REUSED,
        /** The first call is still running. */
        STILL_RUNNING,
        /** The stored answer is returned. */
        REPLAY,
        /** The first call's outcome is unknown and stays so. */
        OUTCOME_UNKNOWN,
        /** The first call is given up; this must be recorded before it is answered. */
        GIVE_UP
    }

    private static final byte[] NO_BODY = {};

    /**
     * Creates the intent of a call, which is written before the call is run.
     *
     * @param intentId unique id of the request
     * @param fingerprint hash of the request
     * @param giveUpAtMs time after which the call is given up, milliseconds since the epoch
     * @return the intent
     */
    public static IdempotencyRecord intent(String intentId, String fingerprint, long giveUpAtMs) {
        return new IdempotencyRecord(
                intentId, fingerprint, State.RUNNING, giveUpAtMs, 0, "", NO_BODY, false);
    }

    /**
     * Returns the record of the call with its answer.
     *
     * @param answerStatus HTTP status
     * @param answerType content type
     * @param answer body of the answer, empty if it is too large
     * @param isKept whether the complete body is part of the record
     * @return the finished record
     */
    public IdempotencyRecord finished(
            int answerStatus, String answerType, byte[] answer, boolean isKept) {
        return new IdempotencyRecord(
                intentId,
                fingerprint,
                State.FINISHED,
                giveUpAtMs,
                answerStatus,
                answerType,
                answer,
                isKept);
    }

    /**
     * Returns the record of the call with an unknown outcome.
     *
     * @return the unclear record
     */
    public IdempotencyRecord unclear() {
        return new IdempotencyRecord(
                intentId, fingerprint, State.UNCLEAR, giveUpAtMs, 0, "", NO_BODY, false);
    }

    /**
     * Determines what a repeated call is answered with; it is never run a second time.
     *
     * @param repeatedFingerprint hash of the repeated request
     * @param nowMs time since the epoch, milliseconds
     * @return the resolution
     */
    public Resolution resolve(String repeatedFingerprint, long nowMs) {
        if (!fingerprint.equals(repeatedFingerprint)) {
            return Resolution.KEY_REUSED;
        }
        return switch (state) {
            case RUNNING -> nowMs < giveUpAtMs ? Resolution.STILL_RUNNING : Resolution.GIVE_UP;
            case FINISHED -> Resolution.REPLAY;
            case UNCLEAR -> Resolution.OUTCOME_UNKNOWN;
        };
    }
}
