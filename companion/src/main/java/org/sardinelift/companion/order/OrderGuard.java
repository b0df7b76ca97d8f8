package org.sardinelift.companion.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.tinylog.Logger;

/**
 * Passes on only orders whose fencing number is not below the highest one seen for the target. The
 * platform stores the highest number; it is raised there by a conditional write before an order is
 * passed on, so that neither a restart nor a second companion for the same target lets an older
 * order through. Orders are processed one at a time. Owned by the control thread.
 */
public final class OrderGuard {
    private static final String KIND = "order-state";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ObjectStore store;
    private final ObjectKey key;
    private final OrderExecutor target;
    private final Executor control;
    private final int maxWaiting;
    private final int maxTries;
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    private boolean isProcessing;
    private long highestFence;

    private record Pending(Order order, Consumer<OrderResult> onResult) {}

    /**
     * Creates a guard that has seen no order.
     *
     * @param store stores the highest fencing number
     * @param targetName name of the target
     * @param target executes the orders
     * @param control executor of the control thread
     * @param maxWaiting maximum number of waiting orders
     * @param maxTries attempts to store the fencing number before an order is refused
     */
    public OrderGuard(
            ObjectStore store,
            String targetName,
            OrderExecutor target,
            Executor control,
            int maxWaiting,
            int maxTries) {
        this.store = store;
        this.key = new ObjectKey(KIND, targetName);
        this.target = target;
        this.control = control;
        this.maxWaiting = maxWaiting;
        this.maxTries = maxTries;
    }

    /**
     * Submits an order.
     *
     * @param order the order
     * @param onResult receives its result
     */
    public void submit(Order order, Consumer<OrderResult> onResult) {
        if (waiting.size() >= maxWaiting) {
            onResult.accept(
                    result(order, false, false, "too many orders are waiting; retry later"));
            return;
        }
        waiting.add(new Pending(order, onResult));
        processNext();
    }

    /**
     * Highest fencing number seen.
     *
     * @return the number, 0 before the first order
     */
    public long highestFence() {
        return highestFence;
    }

    private void processNext() {
        if (isProcessing || waiting.isEmpty()) {
            return;
        }
        isProcessing = true;
        check(waiting.poll(), maxTries);
    }

    private void check(Pending pending, int tries) {
        if (tries == 0) {
            refuse(pending, "the platform did not store the fencing number; retry the order");
            return;
        }
        store.read(key).thenAcceptAsync(read -> onRead(pending, tries, read), control);
    }

    private void onRead(Pending pending, int tries, ReadResult read) {
        if (read instanceof ReadResult.Found found) {
            highestFence = Math.max(highestFence, fence(found.object().value()));
            decide(pending, tries, found.object().version());
        } else if (read instanceof ReadResult.Absent) {
            decide(pending, tries, ObjectStore.ABSENT_VERSION);
        } else {
            refuse(
                    pending,
                    "the highest fencing number can't be read from the platform; retry the order");
        }
    }

    private void decide(Pending pending, int tries, long version) {
        long fence = pending.order().getFence();
        if (fence < highestFence) {
            Logger.warn(
                    "Refused order {} {} of {}: fencing number {} is below the highest one, {}",
                    pending.order().getAction(),
                    pending.order().getSubject(),
                    pending.order().getHolder(),
                    fence,
                    highestFence);
            refuse(
                    pending,
                    "the fencing number is below " + highestFence + "; acquire the lease again");
            return;
        }
        // Written even if equal: the conditional write proves that the read was not stale.
        store.write(key, version, "{\"fence\":" + fence + "}")
                .thenAcceptAsync(written -> onWritten(pending, tries, written), control);
    }

    private void onWritten(Pending pending, int tries, WriteResult written) {
        if (!(written instanceof WriteResult.Written)) {
            check(pending, tries - 1);
            return;
        }
        highestFence = Math.max(highestFence, pending.order().getFence());
        target.execute(pending.order())
                .thenAcceptAsync(
                        result -> complete(pending, result.isAccepted(), true, result.detail()),
                        control);
    }

    private void refuse(Pending pending, String detail) {
        complete(pending, false, false, detail);
    }

    private void complete(Pending pending, boolean accepted, boolean passedOn, String detail) {
        isProcessing = false;
        pending.onResult().accept(result(pending.order(), accepted, passedOn, detail));
        processNext();
    }

    private OrderResult result(Order order, boolean accepted, boolean passedOn, String detail) {
        return new OrderResult(order.getExchange(), accepted, highestFence, detail)
                .setPassedOn(passedOn);
    }

    private static long fence(String value) {
        try {
            return MAPPER.readTree(value).path("fence").asLong(Long.MAX_VALUE);
        } catch (JsonProcessingException e) {
            return Long.MAX_VALUE;
        }
    }
}
