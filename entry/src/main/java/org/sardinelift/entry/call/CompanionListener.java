package org.sardinelift.entry.call;

import org.sardinelift.protocol.generated.OrderResult;

/** Hears what connections to companions show about them. Called on traffic threads. */
public interface CompanionListener {

    /**
     * A connection to an instance was opened or lost.
     *
     * @param instance its name
     * @param up whether one is open now
     */
    void onConnection(String instance, boolean up);

    /**
     * An instance says that it is leaving.
     *
     * @param instance its name
     */
    void onLeaving(String instance);

    /**
     * A companion says what became of an order.
     *
     * @param result the result
     */
    default void onOrderResult(OrderResult result) {}
}
