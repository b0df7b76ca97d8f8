package org.sardinelift.http;

/** Handles requests; called on the connection's event loop, so it must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles one request; the response may be sent now or later, from any thread.
     *
     * @param exchange the request, with methods to respond
     */
    void handle(HttpExchange exchange);
}
