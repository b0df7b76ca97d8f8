package org.sardinelift.entry.order;

import java.util.List;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.protocol.generated.Order;

/** Lists the targets and sends orders to their companions. */
public interface OrderTransport {

    /**
     * Returns the targets that have reported and are not leaving.
     *
     * @return one view for each
     */
    List<TargetView> targets();

    /**
     * Sends an order over the control connection.
     *
     * @param companion name of the companion
     * @param order the order
     * @return false if no connection is open
     */
    boolean send(String companion, Order order);
}
