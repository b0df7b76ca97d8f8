package org.sardinelift.entry.call;

import java.util.Map;
import org.sardinelift.core.outcome.Problem;

/**
 * Receives a call's answer; exactly one of {@link #onEnd} and {@link #onProblem} is called last.
 */
public interface CallListener {

    /**
     * Called once with the status and headers of the target's answer, also if the call was retried
     * or reattached.
     *
     * @param status HTTP status code
     * @param headers answer headers
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Called with each part of the body, in order, without gaps or duplicates.
     *
     * @param part body bytes
     */
    void onData(byte[] part);

    /** Called when the answer is complete. */
    void onEnd();

    /**
     * Called when the call ended without a complete answer.
     *
     * @param problem the failure, and whether the call has run
     */
    void onProblem(Problem problem);
}
