package org.sardinelift.companion.target;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinelift.companion.order.OrderExecutor;
import org.sardinelift.protocol.generated.Order;

/**
 * Knows what the target has loaded. While an order is carried out, the model that it concerns is
 * not shown, so that entries send new calls elsewhere; an order for a role hides all models. What
 * is shown is new before an order's verdict is given. Owned by the control thread.
 */
public final class ModelTracker implements OrderExecutor {
    private static final String ROLE_ACTION = "role";

    private final TargetControlClient target;
    private final Executor control;
    private final Runnable onChange;
    private final List<Order> running = new ArrayList<>();
    private LoadedModels loaded;
    private long asked;
    private long applied;

    /**
     * Makes a watch that takes the settings' models to be loaded.
     *
     * @param target carries orders out and tells what is loaded
     * @param models models that are taken to be loaded at first
     * @param control runs what follows an answer
     * @param onChange called when something else is shown
     */
    public ModelTracker(
            TargetControlClient target, List<String> models, Executor control, Runnable onChange) {
        this.target = target;
        this.control = control;
        this.onChange = onChange;
        this.loaded = LoadedModels.ofNames(models);
    }

    /**
     * What entries may call now.
     *
     * @return the models shown
     */
    public LoadedModels availableModels() {
        return loaded.excluding(this::hidden);
    }

    /** Asks the target; an answer that another question has overtaken is dropped. */
    public void ask() {
        refresh();
    }

    @Override
    public CompletableFuture<Result> execute(Order order) {
        running.add(order);
        onChange.run();
        return target.execute(order)
                .thenComposeAsync(
                        verdict -> {
                            running.remove(order);
                            return refresh().thenApply(done -> verdict);
                        },
                        control);
    }

    private CompletableFuture<Void> refresh() {
        long question = ++asked;
        return target.models().thenAcceptAsync(answer -> onAnswer(question, answer), control);
    }

    private void onAnswer(long question, LoadedModels answer) {
        if (question <= applied) {
            return;
        }
        applied = question;
        loaded = answer;
        onChange.run();
    }

    private boolean hidden(String model) {
        return running.stream()
                .anyMatch(
                        order ->
                                order.getAction().equals(ROLE_ACTION)
                                        || order.getSubject().equals(model));
    }
}
