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
 * Drives {@link ControllerLease} and {@link RolloutPlanner}: looks at the platform each period,
 * writes what was decided, and sends the orders. A state whose write has no clear success is read
 * anew. Owned by the control thread.
 */
public final class OrderController {
    private final RolloutStore store;
    private final Executor control;
    private final LongSupplier clockNanos;
    private final OrderTransport lanes;
    private final Supplier<Catalog> catalog;
    private final Holder self;
    private final OrderBounds bounds;
    private final ControllerLease lease;
    private @Nullable RolloutPlanner board;
    private boolean looking;

    private OrderController(
            RolloutStore store,
            Executor control,
            LongSupplier clockNanos,
            OrderTransport lanes,
            Supplier<Catalog> catalog,
            Holder self,
            OrderBounds bounds) {
        this.store = store;
        this.control = control;
        this.clockNanos = clockNanos;
        this.lanes = lanes;
        this.catalog = catalog;
        this.self = self;
        this.bounds = bounds;
        this.lease = ControllerLease.of(self, bounds);
    }

    /**
     * Makes a controller; nothing happens before {@link #poll}.
     *
     * @param store the platform
     * @param control the control thread
     * @param clockNanos monotonic clock, nanoseconds
     * @param lanes the companions
     * @param catalog the configuration in force
     * @param self this entry
     * @param bounds intervals and bounds
     * @return the controller
     */
    public static OrderController of(
            ObjectStore store,
            Executor control,
            LongSupplier clockNanos,
            OrderTransport lanes,
            Supplier<Catalog> catalog,
            Holder self,
            OrderBounds bounds) {
        RolloutStore objects = new RolloutStore(store, control);
        return new OrderController(objects, control, clockNanos, lanes, catalog, self, bounds);
    }

    /** Looks at the lease and goes on where it is held; to be called each period. */
    public void poll() {
        if (looking) {
            return;
        }
        looking = true;
        store.readLease(this::onLease);
    }

    /**
     * An order's result has come; safe for any thread.
     *
     * @param result the result
     */
    public void onResult(OrderResult result) {
        control.execute(() -> take(result));
    }

    /**
     * The control connection to a companion was lost; safe for any thread.
     *
     * @param companion its name
     */
    public void onLost(String companion) {
        control.execute(
                () -> {
                    if (board != null) {
                        long now = clockNanos.getAsLong();
                        board.rollouts()
                                .values()
                                .forEach(rollout -> rollout.onConnectionLost(companion, now));
                    }
                });
    }

    private void onLease(Optional<RolloutStore.StoredLease> read) {
        long now = clockNanos.getAsLong();
        if (read.isEmpty()) {
            lease.onUnavailable();
            work();
            return;
        }
        Optional<LeaseRecord> next = lease.onRead(read.get().value(), read.get().version(), now);
        if (next.isEmpty()) {
            work();
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
                Logger.info("This entry gives the orders from now on, fence {}", record.fence());
            }
            lease.onWritten(record, sentNanos);
        }
        work();
    }

    private void work() {
        if (!lease.isValid(clockNanos.getAsLong())) {
            rest();
        } else if (board == null || board.fence() != lease.fence()) {
            store.listStates(this::onStates);
        } else {
            store.listSpecs(this::onSpecs);
        }
    }

    private void onStates(Optional<List<RolloutState>> states) {
        if (states.isEmpty()) {
            rest();
            return;
        }
        board = RolloutPlanner.of(lease.fence(), bounds, states.get(), clockNanos.getAsLong());
        store.listSpecs(this::onSpecs);
    }

    private void onSpecs(Optional<List<RolloutSpec>> specs) {
        RolloutPlanner current = board;
        if (specs.isEmpty() || current == null) {
            looking = false;
            return;
        }
        current.plan(specs.get(), lanes.targets(), clockNanos.getAsLong());
        advance(current, List.copyOf(current.rollouts().values()).iterator());
    }

    /** Writes each changed state, then sends what follows from it. */
    private void advance(RolloutPlanner current, Iterator<Rollout> rest) {
        if (!rest.hasNext() || board != current) {
            looking = false;
            return;
        }
        Rollout rollout = rest.next();
        if (!rollout.isDirty()) {
            send(rollout);
            advance(current, rest);
            return;
        }
        if (!lease.isValid(clockNanos.getAsLong())) {
            rest();
            return;
        }
        RolloutState state = rollout.state();
        store.writeState(
                state,
                written -> {
                    if (!written) {
                        Logger.info(
                                "The state of roll-out {} was not written; it is read anew",
                                state.spec().name());
                        rest();
                        return;
                    }
                    rollout.onWritten();
                    log(state);
                    send(rollout);
                    advance(current, rest);
                });
    }

    private void rest() {
        board = null;
        looking = false;
    }

    private void send(Rollout rollout) {
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
            if (lanes.send(order.target(), frame)) {
                rollout.onSent(order.target(), number.getAsLong(), clockNanos.getAsLong());
            } else {
                rollout.onSendFailed(order.target(), clockNanos.getAsLong());
            }
        }
    }

    private void take(OrderResult result) {
        long highest = result.getHighestFence();
        if (!result.isAccepted() && lease.isOvertakenBy(highest)) {
            Logger.warn(
                    "A target has seen order number {}, above this entry's fence {}; it gives no"
                            + " order until it has claimed anew",
                    highest,
                    lease.fence());
            lease.onHigherNumber(highest);
            board = null;
        } else if (board != null) {
            long now = clockNanos.getAsLong();
            board.rollouts()
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

    private static void log(RolloutState state) {
        Logger.info(
                "Roll-out {} of {} is {}{}",
                state.spec().name(),
                state.spec().service(),
                state.phase(),
                state.rollbackReason().isEmpty() ? "" : ": " + state.rollbackReason());
    }
}
