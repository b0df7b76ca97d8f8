package org.sardinelift.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A request to send.
 *
 * @param host address
 * @param port port
 * @param method method name in upper case
 * @param uri path and query
 * @param headers request headers in order; content-length is added, and host if absent
 * @param body body bytes, empty for none
 * @param silenceTimeout maximum time without any byte of the response before the call fails
 * @param maxConnectionIdle longest idle time of a connection that the request may be sent over,
 *     since the peer may be about to close an idle one; 0 for a new connection
 * @param isRepeatable whether the request may run twice, so that it is sent again over a new
 *     connection if an idle one is lost without a response; the method doesn't show that
 */
public record HttpCall(
        String host,
        int port,
        String method,
        String uri,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        Duration silenceTimeout,
        Duration maxConnectionIdle,
        boolean isRepeatable) {
    /** No idle connection is too old, as far as the request is concerned. */
    private static final Duration UNBOUNDED = Duration.ofNanos(Long.MAX_VALUE);

    /**
     * Creates a request that is sent over a new connection or over any idle one.
     *
     * @param host address
     * @param port port
     * @param method method name in upper case
     * @param uri path and query
     * @param headers request headers in order
     * @param body body bytes, empty for none
     * @param silenceTimeout maximum time without any byte of the response before the call fails
     * @param needsFreshConnection whether a new connection must be used
     */
    public HttpCall(
            String host,
            int port,
            String method,
            String uri,
            List<Map.Entry<String, String>> headers,
            byte[] body,
            Duration silenceTimeout,
            boolean needsFreshConnection) {
        this(
                host,
                port,
                method,
                uri,
                headers,
                body,
                silenceTimeout,
                needsFreshConnection ? Duration.ZERO : UNBOUNDED,
                false);
    }

    /**
     * Creates a request that may be sent over an idle connection.
     *
     * @param host address
     * @param port port
     * @param method method name in upper case
     * @param uri path and query
     * @param headers request headers
     * @param body body bytes, empty for none
     * @param silence maximum time without any byte of the response before the call fails
     * @return the request
     */
    public static HttpCall of(
            String host,
            int port,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            Duration silence) {
        return new HttpCall(
                host, port, method, uri, List.copyOf(headers.entrySet()), body, silence, false);
    }

    /**
     * Allows the request to run twice.
     *
     * @return the request, which is sent again if an idle connection is lost without a response
     */
    public HttpCall repeatable() {
        return new HttpCall(
                host, port, method, uri, headers, body, silenceTimeout, maxConnectionIdle, true);
    }
}
