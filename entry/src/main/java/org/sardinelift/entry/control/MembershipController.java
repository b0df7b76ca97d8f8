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
 * Reads the platform's list of instances, receives the instances' own notices and the state of
 * connections, and publishes the members. {@link Membership} states what each of them proves.
 */
public final class MembershipController {
    private final ObjectStore store;
    private final ControlThread control;
    private final MembershipTimings timings;
    private final Membership membership;
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<List<InstanceInfo>>> listListeners = new CopyOnWriteArrayList<>();
    private volatile FleetView view = FleetView.empty();
    private boolean hasListFailed;

    private MembershipController(
            ObjectStore store, ControlThread control, MembershipTimings timings) {
        this.store = store;
        this.control = control;
        this.timings = timings;
        this.membership = Membership.create(timings);
    }

    /**
     * Creates a controller, which reads nothing before {@link #start}.
     *
     * @param store the platform's object store
     * @param control the control thread
     * @param timings intervals and bounds
     * @return the controller
     */
    public static MembershipController of(
            ObjectStore store, ControlThread control, MembershipTimings timings) {
        return new MembershipController(store, control, timings);
    }

    /** Starts reading the list of instances. */
    public void start() {
        control.execute(this::poll);
        control.scheduleRepeatedly(timings.pollInterval(), this::poll);
    }

    /**
     * Returns the members. Safe for use by any thread.
     *
     * @return the newest view
     */
    public FleetView view() {
        return view;
    }

    /**
     * Adds a listener of all later changes.
     *
     * @param listener the listener, called on the control thread
     */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener of the platform's list itself, called after each successful read.
     *
     * @param listener the listener, called on the control thread
     */
    public void addInstanceListListener(Consumer<List<InstanceInfo>> listener) {
        listListeners.add(listener);
    }

    /**
     * Called when an instance has announced that it is leaving. Safe for use by any thread.
     *
     * @param instance its name
     */
    public void onLeaving(String instance) {
        applyEvent(() -> membership.onLeaving(instance));
    }

    /**
     * Called when a connection to an instance was opened or lost. Safe for use by any thread.
     *
     * @param instance its name
     * @param isConnected whether a connection is open now
     */
    public void onConnectionChanged(String instance, boolean isConnected) {
        applyEvent(() -> membership.onConnectionChanged(instance, isConnected));
    }

    private void poll() {
        store.instances().thenAccept(result -> applyEvent(() -> onInstancesRead(result)));
    }

    private void onInstancesRead(InstancesResult result) {
        if (result instanceof InstancesResult.Instances instances) {
            List<InstanceInfo> listed =
                    instances.instances().stream()
                            .map(MembershipController::toInstanceInfo)
                            .toList();
            membership.onList(listed, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            hasListFailed = false;
            listListeners.forEach(listener -> listener.accept(listed));
        } else if (!hasListFailed) {
            hasListFailed = true;
            Logger.warn(
                    "The platform's list of instances can't be read; the known members are kept");
        }
    }

    private void applyEvent(Runnable event) {
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

    private static InstanceInfo toInstanceInfo(InstancesResult.Instance instance) {
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
