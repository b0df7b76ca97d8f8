package org.sardinelift.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinelift.core.plan.TargetEntry;
import org.sardinelift.core.plan.TargetRoll;
import org.sardinelift.gateway.Adapter;
import org.sardinelift.gateway.Adapter.Decoded;
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
    private static final Duration INTERVAL = Duration.ofMillis(800);

    private static final Duration RETRY = Duration.ofMillis(300);

    /** Targets whose entries lapsed while the store was away register again within 2 s. */
    private static final Duration REGISTER_AGAIN = Duration.ofMillis(2_200);

    private final Adapter adapter;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreContact contact;
    private final Consumer<Map<String, TargetEntry>> listener;
    private final TargetRoll roll = TargetRoll.empty();
    private final Map<String, String> reportedUnreadable = new HashMap<>();
    private volatile Snapshot snapshot = new Snapshot(List.of(), 0, 0);

    /**
     * A list as it was stored.
     *
     * @param objects the entries
     * @param revision revision of the store that it shows
     * @param readAt when it was asked for, nanoseconds; 0 before the first
     */
    public record Snapshot(List<StoredObject> objects, long revision, long readAt) {}

    private TargetFeed(
            Adapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreContact contact,
            Consumer<Map<String, TargetEntry>> listener) {
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
     * @param listener takes the targets after each change, on the control thread
     * @return the feed, not started
     */
    public static TargetFeed of(
            Adapter adapter,
            ObjectStore store,
            ControlThread control,
            StoreContact contact,
            Consumer<Map<String, TargetEntry>> listener) {
        return new TargetFeed(adapter, store, control, contact, listener);
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
     * Takes a list that a peer has read.
     *
     * @param objects the entries
     * @param revision revision of the store that the list shows
     * @param readAt when it was read, nanoseconds of this process
     * @param source the peer, for the log
     */
    public void offer(List<StoredObject> objects, long revision, long readAt, String source) {
        if (readAt - snapshot.readAt() > 0) {
            apply(objects, revision, readAt, source);
        }
    }

    private void list() {
        long askedAt = System.nanoTime();
        store.list(adapter.targetKind(), "")
                .thenAcceptAsync(result -> onList(result, askedAt), control::execute);
    }

    private void onList(ListResult result, long askedAt) {
        contact.note(result);
        if (result instanceof ListResult.Listed listed) {
            apply(listed.objects(), listed.revision(), askedAt, "store");
            control.schedule(INTERVAL, this::list);
        } else {
            control.schedule(RETRY, this::list);
        }
    }

    private void apply(List<StoredObject> objects, long revision, long readAt, String source) {
        List<TargetEntry> readable = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        objects.forEach(object -> decode(object, readable, unreadable));
        boolean keepMissing = contact.sinceRegainedNanos() < REGISTER_AGAIN.toNanos();
        Map<String, TargetEntry> before = roll.entries();
        if (!roll.apply(readable, unreadable, revision, keepMissing)) {
            Event.of("targets.stale").with("revision", revision).with("source", source).warn();
            return;
        }
        snapshot = new Snapshot(objects, revision, readAt);
        logChanges(before, roll.entries(), source);
        listener.accept(roll.entries());
    }

    private void decode(StoredObject object, List<TargetEntry> readable, Set<String> unreadable) {
        String name = object.key().name();
        Decoded<TargetEntry> decoded = adapter.target(name, object.value());
        if (decoded instanceof Decoded.Read<TargetEntry> read) {
            readable.add(read.value());
            return;
        }
        String reason = ((Decoded.Unreadable<TargetEntry>) decoded).reason();
        unreadable.add(name);
        if (!reason.equals(reportedUnreadable.put(name, reason))) {
            Event.of("target.unreadable").with("target", name).with("reason", reason).warn();
        }
    }

    private static void logChanges(
            Map<String, TargetEntry> before, Map<String, TargetEntry> after, String source) {
        after.values().stream()
                .filter(entry -> !entry.equals(before.get(entry.id())))
                .forEach(
                        entry ->
                                Event.of(entry.leaving() ? "target.leaving" : "target.listed")
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
