package org.sardinelift.gateway.feed;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.PlatformAdapter.Decoded;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.Event;

/**
 * The configuration in force, read from the store and, where the store is away, from peers. Within
 * one life of the process it only goes forward. Works on the control thread.
 */
public final class PlanFeed {
    /** Short enough that a watch whose connection fell silent is noticed within the bound. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(900);

    private static final Duration RETRY = Duration.ofMillis(250);
    private static final Duration PAUSE = Duration.ofMillis(20);

    /** Time between looks whether another instance still reads; a part of the bound for changes. */
    private static final Duration LOOK = Duration.ofMillis(100);

    private final PlatformAdapter adapter;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability contact;
    private final Consumer<ServingPlan> listener;
    private final ReadPolicy duty;
    private volatile @Nullable CurrentPlan current;
    private volatile long confirmedAt;

    /**
     * A configuration as it was stored.
     *
     * @param plan decoded
     * @param value as stored
     */
    public record CurrentPlan(ServingPlan plan, String value) {}

    private PlanFeed(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            ReadPolicy duty,
            Consumer<ServingPlan> listener) {
        this.duty = duty;
        this.adapter = adapter;
        this.store = store;
        this.control = control;
        this.contact = contact;
        this.listener = listener;
    }

    /**
     * Makes a feed.
     *
     * @param adapter reads the stored value
     * @param store the platform's store
     * @param control the control thread
     * @param contact notes whether the store answers
     * @param duty whether this instance watches the store itself
     * @param listener takes each newer plan, on the control thread
     * @return the feed, not started
     */
    public static PlanFeed of(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            ReadPolicy duty,
            Consumer<ServingPlan> listener) {
        return new PlanFeed(adapter, store, control, contact, duty, listener);
    }

    /** Starts to read and watch. */
    public void start() {
        control.execute(this::read);
    }

    /**
     * The configuration in force.
     *
     * @return the newest known, or null before the first; safe for any thread
     */
    public @Nullable CurrentPlan current() {
        return current;
    }

    /**
     * Version of the configuration in force.
     *
     * @return the version, 0 before the first; safe for any thread
     */
    public long version() {
        CurrentPlan now = current;
        return now == null ? 0 : now.plan().version();
    }

    /**
     * When the store itself confirmed to this instance that nothing newer is there.
     *
     * @return the time, nanoseconds; 0 where it never did; safe for any thread
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /**
     * Takes a stored value, from wherever it came.
     *
     * @param value the value
     * @param source where it came from, for the log
     */
    public void applyIfNewer(String value, String source) {
        Decoded<ServingPlan> decoded = adapter.decodePlan(value);
        if (decoded instanceof Decoded.Unreadable<ServingPlan> unreadable) {
            Event.of("plan.unreadable")
                    .with("source", source)
                    .with("reason", unreadable.reason())
                    .with("kept_version", version())
                    .error();
            return;
        }
        ServingPlan plan = ((Decoded.Value<ServingPlan>) decoded).value();
        long before = version();
        if (plan.version() <= before) {
            return;
        }
        current = new CurrentPlan(plan, value);
        Event.of("plan.applied")
                .with("version", plan.version())
                .with("before", before)
                .with("source", source)
                .info();
        listener.accept(plan);
    }

    private void read() {
        long askedAt = System.nanoTime();
        store.read(adapter.planKey())
                .thenAcceptAsync(result -> onRead(result, askedAt), control::execute);
    }

    private void onRead(ReadResult result, long askedAt) {
        contact.onResult(result);
        if (!(result instanceof ReadResult.Unavailable)) {
            confirmedAt = askedAt;
        }
        if (result instanceof ReadResult.Found found) {
            applyIfNewer(found.object().value(), "store");
            watch(found.object().revision());
        } else if (result instanceof ReadResult.Absent absent) {
            watch(absent.revision());
        } else {
            control.schedule(RETRY, this::read);
        }
    }

    private void watch(long after) {
        if (current != null && !duty.needsStoreRead()) {
            control.schedule(LOOK, this::look);
            return;
        }
        long askedAt = System.nanoTime();
        store.watch(Set.of(adapter.planKey().kind()), after, WATCH_WAIT)
                .thenAcceptAsync(result -> onWatch(result, after, askedAt), control::execute);
    }

    /** After a time without watching, changes may have been missed: the object is read first. */
    private void look() {
        if (duty.needsStoreRead()) {
            read();
        } else {
            control.schedule(LOOK, this::look);
        }
    }

    private void onWatch(WatchResult result, long after, long askedAt) {
        contact.onResult(result);
        if (result instanceof WatchResult.Changes changes) {
            confirmedAt = askedAt;
            changes.changes().stream()
                    .filter(change -> change.key().equals(adapter.planKey()))
                    .map(WatchResult.Change::object)
                    .forEach(this::onChange);
            long next = Math.max(after, changes.revision());
            control.schedule(PAUSE, () -> watch(next));
        } else {
            control.schedule(RETRY, this::read);
        }
    }

    private void onChange(@Nullable StoredObject object) {
        if (object == null) {
            Event.of("plan.deleted").with("kept_version", version()).error();
        } else {
            applyIfNewer(object.value(), "watch");
        }
    }
}
