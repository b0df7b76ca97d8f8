package org.sardinelift.companion.order;

import java.util.concurrent.CompletableFuture;
import org.sardinelift.protocol.generated.Order;

/** Executes orders at a target. */
@FunctionalInterface
public interface OrderExecutor {

    /**
     * Executes an order.
     *
     * @param order the order, with its fencing number
     * @return its result; never completes exceptionally
     */
    CompletableFuture<Result> execute(Order order);

    /**
     * Result of an order at the target.
     *
     * @param isAccepted whether the target accepted it
     * @param detail the target's response text, or why there is none
     */
    record Result(boolean isAccepted, String detail) {}
}
