package org.sardinelift.http;

import java.util.List;
import java.util.Map;

/**
 * Receives a response as it arrives, on one event loop. Exactly one of {@link #onEnd} and {@link
 * #onFailure} comes last.
 */
public interface HttpResponseListener {

    /**
     * Called with the status and headers.
     *
     * @param status HTTP status code
     * @param headers response headers in order
     */
    void onHead(int status, List<Map.Entry<String, String>> headers);

    /**
     * Called with a part of the body.
     *
     * @param part body bytes
     */
    void onData(byte[] part);

    /**
     * Asked after each part, for the bound of all incomplete responses.
     *
     * @return bytes of the response that the listener holds in memory now
     */
    default long heldBytes() {
        return 0;
    }

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the call has failed.
     *
     * @param cause cause of the failure
     * @param mayHaveRun false only if no byte of the request was written
     */
    void onFailure(Throwable cause, boolean mayHaveRun);
}
