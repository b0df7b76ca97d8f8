package org.sardinelift.http;

import java.io.IOException;

/** Thrown when a call got no complete response. */
public final class HttpCallException extends IOException {
    private final boolean mayHaveRun;

    HttpCallException(Throwable cause, boolean mayHaveRun) {
        super(String.valueOf(cause.getMessage()), cause);
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Whether the peer may have acted on the request.
     *
     * @return false only if no byte of the request was written
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
