package org.sardinelift.entry.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.core.fleet.Membership;
import org.sardinelift.core.fleet.MembershipTimings;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;
import org.tinylog.Logger;

/**
 * Reads the platform's list, takes the instances' own word and the state of connections, and
 * publishes who is a member. {@link Membership} says who may conclude what.
 */
public final class MembershipController {
    private final ObjectStore store;
    private final ControlThread control;
    private final MembershipTimings timings;
    private final Membership membership;
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<List<InstanceInfo>>> listListeners = new CopyOnWriteArrayList<>();
    private volatile FleetView view = FleetView.empty();
    private boolean listFailed;

    private MembershipController(
            ObjectStore store, ControlThread control, MembershipTimings timings) {
        this.store = store;
        this.control = control;
        this.timings = timings;
        this.membership = Membership.create(timings);
    }

    /**
     * Makes a controller; nothing is read before {@link #start}.
     *
     * @param store the platform
     * @param control the control thread
     * @param timings intervals and bounds
     * @return the controller
     */
    public static MembershipController of(
            ObjectStore store, ControlThread control, MembershipTimings timings) {
        return new MembershipController(store, control, timings);
    }

    /** Starts reading the list. */
    public void start() {
        control.execute(this::poll);
        control.repeat(timings.pollInterval(), this::poll);
    }

    /**
     * The members; safe for any thread.
     *
     * @return the newest view
     */
    public FleetView view() {
        return view;
    }

    /**
     * Adds a listener, which hears of every change from now on.
     *
     * @param listener the listener, called on the control thread
     */
    public void listen(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener for the platform's list itself, which hears of each successful reading.
     *
     * @param listener the listener, called on the control thread
     */
    public void addInstanceListListener(Consumer<List<InstanceInfo>> listener) {
        listListeners.add(listener);
    }

    /**
     * An instance has said that it is leaving; safe for any thread.
     *
     * @param instance its name
     */
    public void onLeaving(String instance) {
        change(() -> membership.onLeaving(instance));
    }

    /**
     * A connection to an instance was opened or lost; safe for any thread.
     *
     * @param instance its name
     * @param up whether one is open now
     */
    public void onConnection(String instance, boolean up) {
        change(() -> membership.onConnectionChanged(instance, up));
    }

    private void poll() {
        store.instances().thenAccept(result -> change(() -> onList(result)));
    }

    private void onList(InstancesResult result) {
        if (result instanceof InstancesResult.Instances instances) {
            List<InstanceInfo> listed =
                    instances.instances().stream().map(MembershipController::info).toList();
            membership.onList(listed, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            listFailed = false;
            listListeners.forEach(listener -> listener.accept(listed));
        } else if (!listFailed) {
            listFailed = true;
            Logger.warn("The list of instances can't be read; the members known so far are kept");
        }
    }

    private void change(Runnable event) {
        control.execute(
                () -> {
                    event.run();
                    publish();
                });
    }

    private void publish() {
        FleetView next = membership.view();
        if (!next.equals(view)) {
            view = next;
            listeners.forEach(listener -> listener.accept(next));
        }
    }

    private static InstanceInfo info(InstancesResult.Instance instance) {
        return new InstanceInfo(
                instance.name(),
                instance.role(),
                instance.zone(),
                instance.host(),
                instance.port(),
                instance.target(),
                instance.isLeaving());
    }
}
