package org.sardinelift.entry.control;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.ConfigCall;
import org.sardinelift.core.catalog.ConfigItem;
import org.sardinelift.core.catalog.ConfigKind;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.core.catalog.ConfigState;
import org.sardinelift.core.catalog.ConfigSync;
import org.sardinelift.core.catalog.ConfigTimings;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.ConfigCodec;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Revision;
import org.sardinelift.runtime.ControlThread;
import org.tinylog.Logger;

/**
 * Keeps this entry's configuration up to date and publishes it as a snapshot that any thread may
 * read. {@link ConfigSync} decides what to read and when; this class calls the platform and reports
 * the revision to the peers.
 */
public final class ConfigController {
    private static final Duration STEP_INTERVAL = Duration.ofMillis(20);
    private static final String BARRIER_KIND = "lease";
    private static final Set<String> WATCHED_KINDS =
            EnumSet.allOf(ConfigKind.class).stream()
                    .map(ConfigKind::label)
                    .collect(Collectors.toUnmodifiableSet());

    private final ObjectStore store;
    private final ControlThread control;
    private final Peers peers;
    private final ObjectKey barrier;
    private final ConfigTimings timings;
    private final ConfigSync sync;
    private final List<CatalogListener> listeners = new CopyOnWriteArrayList<>();
    private Set<ConfigProblem> reportedProblems = Set.of();
    private BooleanSupplier isAcceptingRequests = () -> true;
    private volatile Catalog catalog = Catalog.empty();
    private volatile boolean isReady;
    private volatile boolean isIsolated;

    private ConfigController(
            ObjectStore store,
            ControlThread control,
            Peers peers,
            String instance,
            ConfigTimings timings) {
        this.store = store;
        this.control = control;
        this.peers = peers;
        this.barrier = new ObjectKey(BARRIER_KIND, "barrier/" + instance);
        this.timings = timings;
        this.sync = ConfigSync.create(timings);
    }

    /**
     * Creates a controller, which reads nothing before {@link #start}.
     *
     * @param store the platform's object store
     * @param control the control thread
     * @param peers the other entries
     * @param instance name of this instance
     * @param timings intervals and bounds
     * @return the controller
     */
    public static ConfigController of(
            ObjectStore store,
            ControlThread control,
            Peers peers,
            String instance,
            ConfigTimings timings) {
        return new ConfigController(store, control, peers, instance, timings);
    }

    /**
     * Starts reading the configuration.
     *
     * @param isAccepting whether this entry accepts requests, which is reported to the peers
     */
    public void start(BooleanSupplier isAccepting) {
        isAcceptingRequests = isAccepting;
        peers.addListener(new RevisionListener());
        control.execute(this::step);
        control.scheduleRepeatedly(STEP_INTERVAL, this::step);
        control.scheduleRepeatedly(timings.gossipInterval(), this::broadcastRevision);
    }

    /**
     * Returns the configuration in force. Safe for use by any thread.
     *
     * @return the newest snapshot
     */
    public Catalog catalog() {
        return catalog;
    }

    /**
     * Whether the whole configuration has been read since the start. Safe for use by any thread.
     *
     * @return true once requests may be checked against it
     */
    public boolean isReady() {
        return isReady;
    }

    /**
     * Whether this entry has been without contact or current configuration for so long that it must
     * refuse requests. Safe for use by any thread.
     *
     * @return true while isolated
     */
    public boolean isIsolated() {
        return isIsolated;
    }

    /**
     * Adds a listener of all later changes.
     *
     * @param listener the listener, called on the control thread
     */
    public void addListener(CatalogListener listener) {
        listeners.add(listener);
    }

    private void step() {
        long now = nowMs();
        sync.nextCall(now).ifPresent(this::call);
        updateState(now);
    }

    private void updateState(long now) {
        isReady = sync.isReady();
        boolean wasIsolated = isIsolated;
        isIsolated = isReady && sync.isIsolated(now);
        if (isIsolated && !wasIsolated) {
            Logger.error(
                    "No contact with the platform or a peer for {}, or a newer configuration can't"
                            + " be read; new requests are refused until the configuration is known"
                            + " to be current",
                    timings.isolationTimeout());
        }
    }

    private void call(ConfigCall call) {
        if (call instanceof ConfigCall.Barrier) {
            writeBarrier(call.number());
        } else if (call instanceof ConfigCall.ListAll) {
            listAll(call.number());
        } else if (call instanceof ConfigCall.Watch watch) {
            store.watch(WATCHED_KINDS, watch.afterRevision(), watch.maxWait())
                    .thenAccept(result -> runOnControl(() -> onWatch(call.number(), result)));
        }
    }

    private void writeBarrier(long number) {
        store.write(barrier, ObjectStore.ABSENT_VERSION, "{}")
                .thenCompose(this::removeOldBarrier)
                .thenAccept(result -> runOnControl(() -> onBarrier(number, result)));
    }

    /**
     * Deletes a barrier object that an earlier start left. The deletion then serves as the barrier,
     * since it is a write as well.
     */
    private CompletableFuture<WriteResult> removeOldBarrier(WriteResult result) {
        if (result instanceof WriteResult.Conflict conflict) {
            return store.delete(barrier, conflict.actualVersion());
        }
        if (result instanceof WriteResult.Written written) {
            store.delete(barrier, written.version());
        }
        return CompletableFuture.completedFuture(result);
    }

    private void onBarrier(long number, WriteResult result) {
        if (result instanceof WriteResult.Written written) {
            sync.onBarrierWritten(number, written.revision(), nowMs());
        } else {
            sync.onCallFailed(number, nowMs());
        }
    }

    private void listAll(long number) {
        Map<ConfigKind, CompletableFuture<ListResult>> lists = new EnumMap<>(ConfigKind.class);
        for (ConfigKind kind : ConfigKind.values()) {
            lists.put(kind, store.list(kind.label(), ""));
        }
        CompletableFuture.allOf(lists.values().toArray(CompletableFuture[]::new))
                .thenRun(() -> runOnControl(() -> onListed(number, lists)));
    }

    private void onListed(long number, Map<ConfigKind, CompletableFuture<ListResult>> lists) {
        Map<ConfigKind, Long> revisions = new EnumMap<>(ConfigKind.class);
        Map<ConfigKind, List<ConfigState>> states = new EnumMap<>(ConfigKind.class);
        lists.forEach(
                (kind, list) -> {
                    if (list.join() instanceof ListResult.Listed listed) {
                        revisions.put(kind, listed.revision());
                        states.put(kind, listed.objects().stream().map(this::toState).toList());
                    }
                });
        if (revisions.size() < lists.size()) {
            sync.onCallFailed(number, nowMs());
            return;
        }
        publish(sync.onListed(number, revisions, states, nowMs()));
    }

    private void onWatch(long number, WatchResult result) {
        if (result instanceof WatchResult.Changes changes) {
            List<ConfigState> states =
                    changes.changes().stream()
                            .filter(change -> ConfigKind.of(change.key().kind()).isPresent())
                            .map(this::toState)
                            .toList();
            publish(sync.onChanges(number, changes.revision(), states, nowMs()));
        } else if (result instanceof WatchResult.Gap) {
            Logger.warn(
                    "The platform no longer has the changes since the watched revision; listing"
                            + " the whole configuration");
            sync.onGap(number, nowMs());
        } else {
            sync.onCallFailed(number, nowMs());
        }
    }

    private ConfigState toState(StoredObject object) {
        return toState(object.key(), object.revision(), object.value());
    }

    private ConfigState toState(WatchResult.Change change) {
        StoredObject object = change.object();
        return toState(change.key(), change.revision(), object == null ? null : object.value());
    }

    private ConfigState toState(ObjectKey key, long revision, @Nullable String value) {
        ConfigRef ref = new ConfigRef(ConfigKind.of(key.kind()).orElseThrow(), key.name());
        return new ConfigState(ref, revision, value == null ? null : decode(ref, value));
    }

    private @Nullable ConfigItem decode(ConfigRef ref, String value) {
        DecodeResult<ConfigItem> result = ConfigCodec.decode(ref, value);
        if (result instanceof DecodeResult.Invalid<ConfigItem> invalid) {
            invalid.problems()
                    .forEach(problem -> Logger.error("{} The object is not in force.", problem));
            return null;
        }
        return ((DecodeResult.Valid<ConfigItem>) result).item();
    }

    private void publish(boolean hasChanged) {
        Catalog before = catalog;
        Catalog after =
                hasChanged
                        ? sync.merger().catalog()
                        : new Catalog(
                                sync.merger().completeRevision(),
                                before.teams(),
                                before.keys(),
                                before.services());
        catalog = after;
        updateState(nowMs());
        if (hasChanged) {
            reportProblems();
            Logger.info("Configuration of revision {} is in force", after.revision());
            listeners.forEach(listener -> listener.onCatalogChanged(before, after));
        }
        step();
    }

    private void reportProblems() {
        Set<ConfigProblem> problems = new HashSet<>(sync.merger().problems());
        problems.stream()
                .filter(problem -> !reportedProblems.contains(problem))
                .forEach(problem -> Logger.error("{} The team is not in force.", problem));
        reportedProblems = problems;
    }

    private void broadcastRevision() {
        Revision revision =
                new Revision(
                        sync.merger().newestRevision(),
                        sync.platformContactAgeMs(nowMs()),
                        isAcceptingRequests.getAsBoolean());
        peers.broadcast(Frame.revision(revision));
    }

    private void runOnControl(Runnable task) {
        control.execute(
                () -> {
                    task.run();
                    step();
                });
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private final class RevisionListener implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {}

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            if (frame.isSetRevision()) {
                long revision = frame.getRevision().getConfigRevision();
                runOnControl(() -> sync.onPeerRevision(revision, nowMs()));
            }
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {}
    }
}
