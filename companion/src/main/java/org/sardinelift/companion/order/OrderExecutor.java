package org.sardinelift.companion.order;

import java.util.concurrent.CompletableFuture;
import org.sardinelift.protocol.generated.Order;

/** Carries out orders. */
@FunctionalInterface
public interface OrderExecutor {

    /**
     * Carries out an order.
     *
     * @param order the order, with its fencing number
     * @return what became of it; never fails
     */
    CompletableFuture<Result> execute(Order order);

    /**
     * What became of an order at the target.
     *
     * @param isAccepted whether the target took it
     * @param detail what the target said
     */
    record Result(boolean isAccepted, String detail) {}
}
