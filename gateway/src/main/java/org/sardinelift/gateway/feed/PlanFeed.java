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
import org.sardinelift.runtime.log.LogEvent;

/**
 * Provides the configuration in force, read from the store and, while the store is unavailable,
 * from peers. Its version never decreases while the process runs. Runs on the control thread.
 */
public final class PlanFeed {
    /** Short enough to detect a watch on a silent connection within the bound for changes. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(900);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration WATCH_PAUSE = Duration.ofMillis(20);

    /** Time between checks whether another instance reads; a part of the bound for changes. */
    private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(100);

    private final PlatformAdapter adapter;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Consumer<ServingPlan> listener;
    private final ReadPolicy readPolicy;
    private final boolean boundsTargetMemory;
    private volatile @Nullable CurrentPlan current;
    private volatile long confirmedAt;

    /**
     * The configuration in force.
     *
     * @param plan the decoded configuration
     * @param value the stored value
     */
    public record CurrentPlan(ServingPlan plan, String value) {}

    private PlanFeed(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            ReadPolicy readPolicy,
            boolean boundsTargetMemory,
            Consumer<ServingPlan> listener) {
        this.boundsTargetMemory = boundsTargetMemory;
        this.readPolicy = readPolicy;
        this.adapter = adapter;
        this.store = store;
        this.control = control;
        this.storeAvailability = storeAvailability;
        this.listener = listener;
    }

    /**
     * Creates a feed.
     *
     * @param adapter decodes the stored value
     * @param store the platform's store
     * @param control the control thread
     * @param storeAvailability records whether the store answers
     * @param readPolicy whether this instance watches the store itself
     * @param boundsTargetMemory whether calls and items are bounded by the memory of targets
     * @param listener receives each newer configuration, on the control thread
     * @return the feed, not started
     */
    public static PlanFeed of(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            ReadPolicy readPolicy,
            boolean boundsTargetMemory,
            Consumer<ServingPlan> listener) {
        return new PlanFeed(
                adapter,
                store,
                control,
                storeAvailability,
                readPolicy,
                boundsTargetMemory,
                listener);
    }

    /** Starts to read and watch. */
    public void start() {
        control.execute(this::read);
    }

    /**
     * The configuration in force.
     *
     * @return the configuration, or null before the first; safe for use by any thread
     */
    public @Nullable CurrentPlan current() {
        return current;
    }

    /**
     * Version of the configuration in force.
     *
     * @return the version, 0 before the first; safe for use by any thread
     */
    public long version() {
        CurrentPlan latest = current;
        return latest == null ? 0 : latest.plan().version();
    }

    /**
     * When the store last confirmed to this instance that it has nothing newer.
     *
     * @return the time, nanoseconds; 0 if it never did; safe for use by any thread
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /**
     * Decodes a stored value and applies it if it is newer.
     *
     * @param value the stored value
     * @param source where it was read, for the log
     */
    public void applyIfNewer(String value, String source) {
        Decoded<ServingPlan> decoded = adapter.decodePlan(value);
        if (decoded instanceof Decoded.Unreadable<ServingPlan> unreadable) {
            LogEvent.of("plan.unreadable")
                    .with("source", source)
                    .with("reason", unreadable.reason())
                    .with("kept_version", version())
                    .error();
            return;
        }
        ServingPlan stored = ((Decoded.Value<ServingPlan>) decoded).value();
        ServingPlan plan = boundsTargetMemory ? stored : stored.withoutMemoryLimits();
        long previousVersion = version();
        if (plan.version() <= previousVersion) {
            return;
        }
        current = new CurrentPlan(plan, value);
        LogEvent.of("plan.applied")
                .with("version", plan.version())
                .with("before", previousVersion)
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
        storeAvailability.onResult(result);
        if (!(result instanceof ReadResult.Unavailable)) {
            confirmedAt = askedAt;
        }
        if (result instanceof ReadResult.Found found) {
            FeedGuard.run("plan", () -> applyIfNewer(found.object().value(), "store"));
            watch(found.object().revision());
        } else if (result instanceof ReadResult.Absent absent) {
            watch(absent.revision());
        } else {
            control.schedule(RETRY_INTERVAL, this::read);
        }
    }

    private void watch(long afterRevision) {
        if (current != null && !readPolicy.needsStoreRead()) {
            control.schedule(READER_CHECK_INTERVAL, this::checkReader);
            return;
        }
        long askedAt = System.nanoTime();
        store.watch(Set.of(adapter.planKey().kind()), afterRevision, WATCH_WAIT)
                .thenAcceptAsync(
                        result -> onWatch(result, afterRevision, askedAt), control::execute);
    }

    /** Reads before watching again, since changes may have been missed in between. */
    private void checkReader() {
        if (readPolicy.needsStoreRead()) {
            read();
        } else {
            control.schedule(READER_CHECK_INTERVAL, this::checkReader);
        }
    }

    private void onWatch(WatchResult result, long afterRevision, long askedAt) {
        storeAvailability.onResult(result);
        if (result instanceof WatchResult.Changes changes) {
            confirmedAt = askedAt;
            changes.changes().stream()
                    .filter(change -> change.key().equals(adapter.planKey()))
                    .map(WatchResult.Change::object)
                    .forEach(object -> FeedGuard.run("plan", () -> onPlanObject(object)));
            long next = Math.max(afterRevision, changes.revision());
            control.schedule(WATCH_PAUSE, () -> watch(next));
        } else {
            control.schedule(RETRY_INTERVAL, this::read);
        }
    }

    private void onPlanObject(@Nullable StoredObject object) {
        if (object == null) {
            LogEvent.of("plan.deleted").with("kept_version", version()).error();
        } else {
            applyIfNewer(object.value(), "watch");
        }
    }
}
