package org.sardinelift.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.TargetRegistry;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.PlatformAdapter.Decoded;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.Event;

/**
 * The targets, listed from the store again and again. A list costs as much as a watch that returns
 * at each heartbeat of a target, can't fall silent and has no gaps. Works on the control thread.
 */
public final class TargetFeed {
    /** Half of the time in which a leaving target must get no more calls, less some slack. */
    private static final Duration INTERVAL = Duration.ofMillis(700);

    private static final Duration RETRY = Duration.ofMillis(300);

    /** Time between looks whether another instance still reads. */
    private static final Duration LOOK = Duration.ofMillis(100);

    /** Targets whose entries lapsed while the store was away register again within 2 s. */
    private static final Duration REGISTER_AGAIN = Duration.ofMillis(2_200);

    /** Stands for the revision of the last change in a list that was read here. */
    private static final long OWN_LIST = -1;

    private final PlatformAdapter adapter;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability contact;
    private final Consumer<Map<String, RegisteredTarget>> listener;
    private final TargetRegistry roll = TargetRegistry.empty();
    private final Map<String, String> reportedUnreadable = new HashMap<>();
    private final ReadPolicy duty;
    private volatile Snapshot snapshot = new Snapshot(List.of(), 0, 0, 0);
    private volatile long listedAt;

    /**
     * A list as it was stored.
     *
     * @param objects the entries
     * @param revision revision of the store that it shows
     * @param changedRevision revision at which the entries had changed last
     * @param readAt when it was asked for, nanoseconds; 0 before the first
     */
    public record Snapshot(
            List<StoredObject> objects, long revision, long changedRevision, long readAt) {}

    private TargetFeed(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            ReadPolicy duty,
            Consumer<Map<String, RegisteredTarget>> listener) {
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
     * @param adapter reads the stored entries
     * @param store the platform's store
     * @param control the control thread
     * @param contact notes whether the store answers
     * @param duty whether this instance lists them itself
     * @param listener takes the targets after each change, on the control thread
     * @return the feed, not started
     */
    public static TargetFeed of(
            PlatformAdapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            ReadPolicy duty,
            Consumer<Map<String, RegisteredTarget>> listener) {
        return new TargetFeed(adapter, store, control, contact, duty, listener);
    }

    /** Starts to list. */
    public void start() {
        control.execute(this::list);
    }

    /**
     * The newest list.
     *
     * @return the list; safe for any thread
     */
    public Snapshot snapshot() {
        return snapshot;
    }

    /**
     * How old the newest list is.
     *
     * @return nanoseconds, very many before the first; safe for any thread
     */
    public long ageNanos() {
        long readAt = snapshot.readAt();
        return readAt == 0 ? Long.MAX_VALUE : System.nanoTime() - readAt;
    }

    /**
     * When this instance itself listed the targets last.
     *
     * @return the time, nanoseconds; 0 where it never did; safe for any thread
     */
    public long listedAt() {
        return listedAt;
    }

    /**
     * A peer that holds the same entries has read them lately: they are known to be current.
     *
     * @param changed revision at which the peer's entries had changed last
     * @param readAt when it read them, nanoseconds of this process
     */
    public void confirmUnchanged(long changed, long readAt) {
        Snapshot held = snapshot;
        if (held.changedRevision() == changed && held.readAt() != 0 && readAt - held.readAt() > 0) {
            snapshot = new Snapshot(held.objects(), held.revision(), changed, readAt);
        }
    }

    /**
     * Takes a list that a peer has read.
     *
     * @param theirs the list
     * @param source the peer, for the log
     */
    public void applyIfNewer(Snapshot theirs, String source) {
        if (theirs.readAt() - snapshot.readAt() > 0) {
            apply(theirs, source);
        }
    }

    private void list() {
        if (snapshot.readAt() != 0 && !duty.needsStoreRead()) {
            control.schedule(LOOK, this::list);
            return;
        }
        long askedAt = System.nanoTime();
        store.list(adapter.targetKind(), "")
                .thenAcceptAsync(result -> onList(result, askedAt), control::execute);
    }

    private void onList(ListResult result, long askedAt) {
        contact.onResult(result);
        if (result instanceof ListResult.Listed listed) {
            listedAt = askedAt;
            long changed =
                    listed.objects().equals(snapshot.objects())
                            ? snapshot.changedRevision()
                            : listed.revision();
            apply(new Snapshot(listed.objects(), listed.revision(), changed, askedAt), "store");
            control.schedule(INTERVAL, this::list);
        } else {
            control.schedule(RETRY, this::list);
        }
    }

    private void apply(Snapshot list, String source) {
        List<RegisteredTarget> readable = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        list.objects().forEach(object -> decode(object, readable, unreadable));
        boolean keepMissing = contact.nanosSinceRegained() < REGISTER_AGAIN.toNanos();
        Map<String, RegisteredTarget> before = roll.targets();
        if (!roll.apply(readable, unreadable, list.revision(), keepMissing)) {
            Event.of("targets.stale")
                    .with("revision", list.revision())
                    .with("source", source)
                    .warn();
            return;
        }
        boolean isChanged = !roll.targets().equals(before);
        long changed = isChanged ? list.revision() : snapshot.changedRevision();
        snapshot =
                new Snapshot(
                        list.objects(),
                        list.revision(),
                        list.changedRevision() == OWN_LIST ? changed : list.changedRevision(),
                        list.readAt());
        if (isChanged) {
            logChanges(before, roll.targets(), source);
            listener.accept(roll.targets());
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
        if (!reason.equals(reportedUnreadable.put(name, reason))) {
            Event.of("target.unreadable").with("target", name).with("reason", reason).warn();
        }
    }

    private static void logChanges(
            Map<String, RegisteredTarget> before,
            Map<String, RegisteredTarget> after,
            String source) {
        after.values().stream()
                .filter(entry -> !entry.equals(before.get(entry.id())))
                .forEach(
                        entry ->
                                Event.of(entry.isLeaving() ? "target.leaving" : "target.listed")
                                        .with("target", entry.id())
                                        .with("address", entry.host() + ":" + entry.port())
                                        .with("zone", entry.zone())
                                        .with("source", source)
                                        .info());
        before.keySet().stream()
                .filter(id -> !after.containsKey(id))
                .forEach(
                        id ->
                                Event.of("target.gone")
                                        .with("target", id)
                                        .with("source", source)
                                        .info());
    }
}
