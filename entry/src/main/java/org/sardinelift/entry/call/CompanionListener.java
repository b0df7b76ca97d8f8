package org.sardinelift.entry.call;

import org.sardinelift.protocol.generated.OrderResult;

/** Receives what connections to companions show about them. Called on I/O threads. */
public interface CompanionListener {

    /**
     * Called when a connection to an instance was opened or lost.
     *
     * @param instance its name
     * @param isUp whether a connection is open now
     */
    void onConnection(String instance, boolean isUp);

    /**
     * Called when an instance reports that it is leaving.
     *
     * @param instance its name
     */
    void onLeaving(String instance);

    /**
     * Called when a companion reports the result of an order.
     *
     * @param result the result
     */
    default void onOrderResult(OrderResult result) {}
}
