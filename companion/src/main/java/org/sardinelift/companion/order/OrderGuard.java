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
 * Lets only orders through whose fencing number is not below the highest one seen for the target.
 * The highest is kept by the platform and raised there, by a conditional write, before an order is
 * passed on: so neither a restart of this process nor a twin of it lets an older order through.
 * Orders are taken one at a time. Owned by the control thread.
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
    private boolean taking;
    private long highestFence;

    private record Pending(Order order, Consumer<OrderResult> answer) {}

    /**
     * Makes a guard that has seen no order.
     *
     * @param store keeps the highest fencing number
     * @param targetName name of the target
     * @param target carries orders out
     * @param control runs what follows an answer
     * @param maxWaiting orders that may wait
     * @param maxTries tries to raise the fencing number before an order is refused
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
     * Takes an order.
     *
     * @param order the order
     * @param answer takes what became of it
     */
    public void take(Order order, Consumer<OrderResult> answer) {
        if (waiting.size() >= maxWaiting) {
            answer.accept(result(order, false, false, "too many orders wait; send it again later"));
            return;
        }
        waiting.add(new Pending(order, answer));
        next();
    }

    /**
     * The highest fencing number seen.
     *
     * @return 0 before the first order
     */
    public long highestFence() {
        return highestFence;
    }

    private void next() {
        if (taking || waiting.isEmpty()) {
            return;
        }
        taking = true;
        check(waiting.poll(), maxTries);
    }

    private void check(Pending pending, int tries) {
        if (tries == 0) {
            refuse(pending, "the platform did not keep the fencing number; send it again");
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
                    "the highest fencing number can't be read from the platform; send it again");
        }
    }

    private void decide(Pending pending, int tries, long version) {
        long fence = pending.order().getFence();
        if (fence < highestFence) {
            Logger.warn(
                    "Order {} {} of {} has fencing number {}, below {}; it is refused",
                    pending.order().getAction(),
                    pending.order().getSubject(),
                    pending.order().getHolder(),
                    fence,
                    highestFence);
            refuse(
                    pending,
                    "the fencing number is below " + highestFence + "; take the lease anew");
            return;
        }
        // Written even where it is equal: the condition proves that the read was not stale.
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
                        verdict -> end(pending, verdict.isAccepted(), true, verdict.detail()),
                        control);
    }

    private void refuse(Pending pending, String detail) {
        end(pending, false, false, detail);
    }

    private void end(Pending pending, boolean accepted, boolean passedOn, String detail) {
        taking = false;
        pending.answer().accept(result(pending.order(), accepted, passedOn, detail));
        next();
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
