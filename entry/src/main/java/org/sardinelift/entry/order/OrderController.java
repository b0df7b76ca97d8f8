package org.sardinelift.entry.order;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.order.ControllerLease;
import org.sardinelift.core.order.LeaseRecord;
import org.sardinelift.core.order.OrderBounds;
import org.sardinelift.core.order.Rollout;
import org.sardinelift.core.order.RolloutPlanner;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.core.order.TargetOrder;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.protocol.generated.OrderResult;
import org.tinylog.Logger;

/**
 * Acquires the {@link ControllerLease} and, as its owner, runs the roll-outs: reads the platform at
 * each interval, writes what the {@link RolloutPlanner} decided, and then sends the orders. A state
 * whose write was not confirmed is read again. Owned by the control thread.
 */
public final class OrderController {
    private final RolloutStore store;
    private final Executor control;
    private final LongSupplier clockNanos;
    private final OrderTransport transport;
    private final Supplier<Catalog> catalog;
    private final Holder self;
    private final OrderBounds bounds;
    private final ControllerLease lease;
    private @Nullable RolloutPlanner planner;
    private boolean isPolling;

    private OrderController(
            RolloutStore store,
            Executor control,
            LongSupplier clockNanos,
            OrderTransport transport,
            Supplier<Catalog> catalog,
            Holder self,
            OrderBounds bounds) {
        this.store = store;
        this.control = control;
        this.clockNanos = clockNanos;
        this.transport = transport;
        this.catalog = catalog;
        this.self = self;
        this.bounds = bounds;
        this.lease = ControllerLease.of(self, bounds);
    }

    /**
     * Creates a controller, which does nothing before {@link #poll}.
     *
     * @param store the platform's object store
     * @param control the control thread
     * @param clockNanos monotonic clock, nanoseconds
     * @param transport sends orders to the companions
     * @param catalog the configuration in force
     * @param self this entry
     * @param bounds intervals and bounds
     * @return the controller
     */
    public static OrderController of(
            ObjectStore store,
            Executor control,
            LongSupplier clockNanos,
            OrderTransport transport,
            Supplier<Catalog> catalog,
            Holder self,
            OrderBounds bounds) {
        RolloutStore objects = new RolloutStore(store, control);
        return new OrderController(objects, control, clockNanos, transport, catalog, self, bounds);
    }

    /** Reads the lease, and advances the roll-outs if it is owned. To be called periodically. */
    public void poll() {
        if (isPolling) {
            return;
        }
        isPolling = true;
        store.readLease(this::onLease);
    }

    /**
     * Called when the result of an order was received. Safe for use by any thread.
     *
     * @param result the result
     */
    public void onResult(OrderResult result) {
        control.execute(() -> applyResult(result));
    }

    /**
     * Called when the control connection to a companion was lost. Safe for use by any thread.
     *
     * @param companion its name
     */
    public void onConnectionLost(String companion) {
        control.execute(
                () -> {
                    if (planner != null) {
                        long now = clockNanos.getAsLong();
                        planner.rollouts()
                                .values()
                                .forEach(rollout -> rollout.onConnectionLost(companion, now));
                    }
                });
    }

    private void onLease(Optional<RolloutStore.StoredLease> read) {
        long now = clockNanos.getAsLong();
        if (read.isEmpty()) {
            lease.onUnavailable();
            readRollouts();
            return;
        }
        Optional<LeaseRecord> next = lease.onRead(read.get().value(), read.get().version(), now);
        if (next.isEmpty()) {
            readRollouts();
            return;
        }
        store.writeLease(
                next.get(),
                read.get().version(),
                written -> onLeaseWritten(next.get(), written, now));
    }

    private void onLeaseWritten(LeaseRecord record, boolean written, long sentNanos) {
        if (written) {
            if (record.fence() != lease.fence()) {
                Logger.info(
                        "This entry now owns the roll-out lease and sends the orders, fence {}",
                        record.fence());
            }
            lease.onWritten(record, sentNanos);
        }
        readRollouts();
    }

    private void readRollouts() {
        if (!lease.isValid(clockNanos.getAsLong())) {
            discardPlanner();
        } else if (planner == null || planner.fence() != lease.fence()) {
            store.listStates(this::onStates);
        } else {
            store.listSpecs(this::onSpecs);
        }
    }

    private void onStates(Optional<List<RolloutState>> states) {
        if (states.isEmpty()) {
            discardPlanner();
            return;
        }
        planner = RolloutPlanner.of(lease.fence(), bounds, states.get(), clockNanos.getAsLong());
        store.listSpecs(this::onSpecs);
    }

    private void onSpecs(Optional<List<RolloutSpec>> specs) {
        RolloutPlanner current = planner;
        if (specs.isEmpty() || current == null) {
            isPolling = false;
            return;
        }
        current.plan(specs.get(), transport.targets(), clockNanos.getAsLong());
        advance(current, List.copyOf(current.rollouts().values()).iterator());
    }

    /** Writes each changed state before the orders that follow from it are sent. */
    private void advance(RolloutPlanner current, Iterator<Rollout> remaining) {
        if (!remaining.hasNext() || planner != current) {
            isPolling = false;
            return;
        }
        Rollout rollout = remaining.next();
        if (!rollout.isDirty()) {
            sendOrders(rollout);
            advance(current, remaining);
            return;
        }
        if (!lease.isValid(clockNanos.getAsLong())) {
            discardPlanner();
            return;
        }
        RolloutState state = rollout.state();
        store.writeState(
                state,
                written -> {
                    if (!written) {
                        Logger.info(
                                "The write of the state of roll-out {} was not confirmed; reading"
                                        + " it again",
                                state.spec().name());
                        discardPlanner();
                        return;
                    }
                    rollout.onWritten();
                    logPhase(state);
                    sendOrders(rollout);
                    advance(current, remaining);
                });
    }

    private void discardPlanner() {
        planner = null;
        isPolling = false;
    }

    private void sendOrders(Rollout rollout) {
        RolloutSpec spec = rollout.state().spec();
        ServiceSpec service = catalog.get().services().get(spec.service());
        boolean checksFence = service != null && service.checksFence();
        for (TargetOrder order : rollout.dueOrders(clockNanos.getAsLong())) {
            OptionalLong number = lease.nextNumber(clockNanos.getAsLong());
            if (number.isEmpty()) {
                return;
            }
            Order frame =
                    new Order(
                                    number.getAsLong(),
                                    number.getAsLong(),
                                    order.action().label(),
                                    order.subject(),
                                    order.version(),
                                    self.instance())
                            .setChecksFence(checksFence);
            if (transport.send(order.target(), frame)) {
                rollout.onSent(order.target(), number.getAsLong(), clockNanos.getAsLong());
            } else {
                rollout.onSendFailed(order.target(), clockNanos.getAsLong());
            }
        }
    }

    private void applyResult(OrderResult result) {
        long highest = result.getHighestFence();
        if (!result.isAccepted() && lease.isOvertakenBy(highest)) {
            Logger.warn(
                    "A target has received order number {}, above this entry's fence {}; this entry"
                            + " sends no orders until it has claimed the lease again",
                    highest,
                    lease.fence());
            lease.onHigherNumber(highest);
            planner = null;
        } else if (planner != null) {
            long now = clockNanos.getAsLong();
            planner.rollouts()
                    .values()
                    .forEach(
                            rollout ->
                                    rollout.onResult(
                                            result.getExchange(),
                                            result.isAccepted(),
                                            result.isPassedOn(),
                                            result.getDetail(),
                                            now));
        }
    }

    private static void logPhase(RolloutState state) {
        Logger.info(
                "Roll-out {} of {} is {}{}",
                state.spec().name(),
                state.spec().service(),
                state.phase(),
                state.rollbackReason().isEmpty() ? "" : ": " + state.rollbackReason());
    }
}
