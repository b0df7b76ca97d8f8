package org.sardinelift.companion.target;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinelift.companion.order.OrderExecutor;
import org.sardinelift.protocol.generated.Order;

/**
 * Tracks the models that the target has loaded. While an order is executed, its model is hidden, so
 * that entries send new calls elsewhere; an order for a role hides all models. The list is
 * refreshed before an order's result is returned. Owned by the control thread.
 */
public final class ModelTracker implements OrderExecutor {
    private static final String ROLE_ACTION = "role";

    private final TargetControlClient target;
    private final Executor control;
    private final Runnable onChange;
    private final List<Order> ordersInProgress = new ArrayList<>();
    private LoadedModels loaded;
    private long lastRequest;
    private long lastApplied;

    /**
     * Creates a tracker that initially assumes the given models.
     *
     * @param target executes orders and lists the loaded models
     * @param models models assumed to be loaded until the first poll
     * @param control executor of the control thread
     * @param onChange called when the available models may have changed
     */
    public ModelTracker(
            TargetControlClient target, List<String> models, Executor control, Runnable onChange) {
        this.target = target;
        this.control = control;
        this.onChange = onChange;
        this.loaded = LoadedModels.ofNames(models);
    }

    /**
     * Models that entries may call now.
     *
     * @return the loaded models without those hidden by an order
     */
    public LoadedModels availableModels() {
        return loaded.excluding(this::isHidden);
    }

    /** Polls the target; a response that is older than the one last applied is dropped. */
    public void poll() {
        refresh();
    }

    @Override
    public CompletableFuture<Result> execute(Order order) {
        ordersInProgress.add(order);
        onChange.run();
        return target.execute(order)
                .thenComposeAsync(
                        result -> {
                            ordersInProgress.remove(order);
                            return refresh().thenApply(done -> result);
                        },
                        control);
    }

    private CompletableFuture<Void> refresh() {
        long request = ++lastRequest;
        return target.fetchModels()
                .thenAcceptAsync(models -> onModelsFetched(request, models), control);
    }

    private void onModelsFetched(long request, LoadedModels models) {
        if (request <= lastApplied) {
            return;
        }
        lastApplied = request;
        loaded = models;
        onChange.run();
    }

    private boolean isHidden(String model) {
        return ordersInProgress.stream()
                .anyMatch(
                        order ->
                                order.getAction().equals(ROLE_ACTION)
                                        || order.getSubject().equals(model));
    }
}
