package org.sardinelift.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.TargetRegistry;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.PlatformAdapter.Decoded;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Provides the targets, which it lists from the store at intervals. A list costs as much as a watch
 * that returns at each heartbeat of a target, but can't fall silent and has no gaps. Runs on the
 * control thread.
 */
public final class TargetFeed {
    /** Half of the time within which a leaving target must get no more calls, minus some slack. */
    private static final Duration LIST_INTERVAL = Duration.ofMillis(700);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    /** Time between checks whether another instance still reads. */
    private static final Duration READER_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Targets whose entries expired while the store failed register again within 2 s. */
    private static final Duration REREGISTRATION_TIME = Duration.ofMillis(2_200);

    /** Marks a list that this instance read itself, whose changed revision is yet to be set. */
    private static final long OWN_LIST_REVISION = -1;

    private final PlatformAdapter adapter;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Consumer<Map<String, RegisteredTarget>> listener;
    private final TargetRegistry registry = TargetRegistry.empty();
    private final Map<String, String> loggedReasons = new HashMap<>();
    private final ReadPolicy readPolicy;
    private ListListener listListener = (entries, readAt) -> {};
    private volatile Snapshot snapshot = new Snapshot(List.of(), 0, 0, 0);
    private volatile long listedAt;

    /**
     * A list of targets as stored.
     *
     * @param objects the entries
     * @param revision revision of the store at which it was listed
     * @param changedRevision revision at which the entries last changed
     * @param readAt when it was requested, nanoseconds; 0 before the first
     */
    public record Snapshot(
            List<StoredObject> objects, long revision, long changedRevision, long readAt) {}

    private TargetFeed(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            ReadPolicy readPolicy,
            Consumer<Map<String, RegisteredTarget>> listener) {
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
     * @param adapter decodes the stored entries
     * @param store the platform's store
     * @param control the control thread
     * @param storeAvailability records whether the store answers
     * @param readPolicy whether this instance lists the targets itself
     * @param listener receives the targets after each change, on the control thread
     * @return the feed, not started
     */
    public static TargetFeed of(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            ReadPolicy readPolicy,
            Consumer<Map<String, RegisteredTarget>> listener) {
        return new TargetFeed(adapter, store, control, storeAvailability, readPolicy, listener);
    }

    /** Is notified of each list, on the control thread. */
    public interface ListListener {
        /**
         * The targets were listed or confirmed, whether or not they have changed.
         *
         * @param entries registrations by id
         * @param readAt when the list was requested, nanoseconds
         */
        void onListed(Map<String, RegisteredTarget> entries, long readAt);
    }

    /**
     * Sets what is notified of each list before the targets' listener; before the start.
     *
     * @param newListener the listener
     */
    public void setListListener(ListListener newListener) {
        listListener = newListener;
    }

    /** Starts to list. */
    public void start() {
        control.execute(this::list);
    }

    /**
     * The newest list.
     *
     * @return the list; safe for use by any thread
     */
    public Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Age of the newest list.
     *
     * @return nanoseconds, {@code Long.MAX_VALUE} before the first; safe for use by any thread
     */
    public long ageNanos() {
        long readAt = snapshot.readAt();
        return readAt == 0 ? Long.MAX_VALUE : System.nanoTime() - readAt;
    }

    /**
     * When this instance itself last listed the targets.
     *
     * @return the time, nanoseconds; 0 if it never did; safe for use by any thread
     */
    public long listedAt() {
        return listedAt;
    }

    /**
     * Marks the entries as current, since a peer that has the same ones has read them again.
     *
     * @param changedRevision revision at which the peer's entries last changed
     * @param readAt when it read them, nanoseconds of this process
     */
    public void confirmUnchanged(long changedRevision, long readAt) {
        Snapshot current = snapshot;
        if (current.changedRevision() == changedRevision
                && current.readAt() != 0
                && readAt - current.readAt() > 0) {
            snapshot = new Snapshot(current.objects(), current.revision(), changedRevision, readAt);
            listListener.onListed(registry.targets(), readAt);
        }
    }

    /**
     * Applies a list that a peer has read, if it is newer.
     *
     * @param peerList the list
     * @param source the peer, for the log
     */
    public void applyIfNewer(Snapshot peerList, String source) {
        if (peerList.readAt() - snapshot.readAt() > 0) {
            apply(peerList, source);
        }
    }

    private void list() {
        if (snapshot.readAt() != 0 && !readPolicy.needsStoreRead()) {
            control.schedule(READER_CHECK_INTERVAL, this::list);
            return;
        }
        long askedAt = System.nanoTime();
        store.list(adapter.targetKind(), "")
                .thenAcceptAsync(result -> onList(result, askedAt), control::execute);
    }

    private void onList(ListResult result, long askedAt) {
        storeAvailability.onResult(result);
        if (result instanceof ListResult.Listed listed) {
            listedAt = askedAt;
            long changedRevision =
                    listed.objects().equals(snapshot.objects())
                            ? snapshot.changedRevision()
                            : listed.revision();
            Snapshot list =
                    new Snapshot(listed.objects(), listed.revision(), changedRevision, askedAt);
            FeedGuard.run("targets", () -> apply(list, "store"));
            control.schedule(LIST_INTERVAL, this::list);
        } else {
            control.schedule(RETRY_INTERVAL, this::list);
        }
    }

    private void apply(Snapshot list, String source) {
        List<RegisteredTarget> readable = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        list.objects().forEach(object -> decode(object, readable, unreadable));
        boolean keepMissing =
                storeAvailability.nanosSinceRegained() < REREGISTRATION_TIME.toNanos();
        Map<String, RegisteredTarget> previous = registry.targets();
        if (!registry.apply(readable, unreadable, list.revision(), keepMissing)) {
            LogEvent.of("targets.stale")
                    .with("revision", list.revision())
                    .with("source", source)
                    .warn();
            return;
        }
        boolean isChanged = !registry.targets().equals(previous);
        long changedRevision = isChanged ? list.revision() : snapshot.changedRevision();
        snapshot =
                new Snapshot(
                        list.objects(),
                        list.revision(),
                        list.changedRevision() == OWN_LIST_REVISION
                                ? changedRevision
                                : list.changedRevision(),
                        list.readAt());
        listListener.onListed(registry.targets(), list.readAt());
        if (isChanged) {
            logChanges(previous, registry.targets(), source);
            listener.accept(registry.targets());
        }
    }

    private void decode(
            StoredObject object, List<RegisteredTarget> readable, Set<String> unreadable) {
        String name = object.key().name();
        Decoded<RegisteredTarget> decoded = adapter.decodeTarget(name, object.value());
        if (decoded instanceof Decoded.Value<RegisteredTarget> read) {
            readable.add(read.value());
            return;
        }
        String reason = ((Decoded.Unreadable<RegisteredTarget>) decoded).reason();
        unreadable.add(name);
        if (!reason.equals(loggedReasons.put(name, reason))) {
            LogEvent.of("target.unreadable").with("target", name).with("reason", reason).warn();
        }
    }

    /** Whether an entry says anything new but the remaining cold time, which always changes. */
    private static boolean isChanged(RegisteredTarget entry, @Nullable RegisteredTarget previous) {
        return previous == null || !entry.withoutColdTime().equals(previous.withoutColdTime());
    }

    private static void logChanges(
            Map<String, RegisteredTarget> previous,
            Map<String, RegisteredTarget> updated,
            String source) {
        updated.values().stream()
                .filter(entry -> isChanged(entry, previous.get(entry.id())))
                .forEach(
                        entry ->
                                LogEvent.of(entry.isLeaving() ? "target.leaving" : "target.listed")
                                        .with("target", entry.id())
                                        .with("address", entry.host() + ":" + entry.port())
                                        .with("zone", entry.zone())
                                        .with("version", entry.softwareVersion())
                                        .with("source", source)
                                        .info());
        previous.keySet().stream()
                .filter(id -> !updated.containsKey(id))
                .forEach(
                        id ->
                                LogEvent.of("target.gone")
                                        .with("target", id)
                                        .with("source", source)
                                        .info());
    }
}
