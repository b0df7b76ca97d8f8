package org.sardinelift.gateway.call;

import org.sardinelift.http.HttpExchange;

/** Passes an admitted call on to the next gate, or refuses it. Used on the event loop. */
interface CallGate {
    /** Passes a call on, now or later, or refuses it. */
    void admit(HttpExchange exchange, ForwardedCall call);
}
