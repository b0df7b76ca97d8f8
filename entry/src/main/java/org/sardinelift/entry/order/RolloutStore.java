package org.sardinelift.entry.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sardinelift.core.order.LeaseRecord;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.RolloutCodec;
import org.tinylog.Logger;

/** The objects of roll-outs at the platform, with answers on the control thread. */
final class RolloutStore {
    private static final ObjectKey LEASE =
            new ObjectKey(RolloutCodec.LEASE_KIND, RolloutCodec.LEASE_NAME);

    private final ObjectStore store;
    private final Executor control;
    private final Map<String, Long> stateVersions = new HashMap<>();
    private final Set<String> unsound = new HashSet<>();
    private final Set<String> unreadable = new HashSet<>();

    RolloutStore(ObjectStore store, Executor control) {
        this.store = store;
        this.control = control;
    }

    /** The lease as it was read. */
    record StoredLease(LeaseRecord value, long version) {}

    /** Reads the lease; empty where the platform gave no answer. */
    void readLease(Consumer<Optional<StoredLease>> done) {
        hop(store.read(LEASE), result -> done.accept(lease(result)));
    }

    private Optional<StoredLease> lease(ReadResult result) {
        if (result instanceof ReadResult.Absent) {
            return Optional.of(new StoredLease(LeaseRecord.NONE, ObjectStore.ABSENT_VERSION));
        }
        if (!(result instanceof ReadResult.Found found)) {
            return Optional.empty();
        }
        return sound(found.object(), RolloutCodec.decodeLease(found.object().value()))
                .map(value -> new StoredLease(value, found.object().version()));
    }

    /** Writes the lease over a version; true where it certainly took effect. */
    void writeLease(LeaseRecord value, long version, Consumer<Boolean> done) {
        hop(
                store.write(LEASE, version, RolloutCodec.encodeLease(value)),
                result -> done.accept(result instanceof WriteResult.Written));
    }

    /**
     * Lists what operators want; empty where the platform gave no answer. Where what was decided
     * can't be read, nothing is begun in its place.
     */
    void listSpecs(Consumer<Optional<List<RolloutSpec>>> done) {
        hop(
                store.list(RolloutCodec.SPEC_KIND, ""),
                result ->
                        done.accept(
                                each(result, RolloutStore::spec)
                                        .map(
                                                specs ->
                                                        specs.stream()
                                                                .filter(this::readable)
                                                                .toList())));
    }

    private static DecodeResult<RolloutSpec> spec(StoredObject object) {
        return RolloutCodec.decodeSpec(object.key().name(), object.revision(), object.value());
    }

    private boolean readable(RolloutSpec spec) {
        return !unreadable.contains(spec.name());
    }

    /** Lists what was decided; empty where the platform gave no answer. */
    void listStates(Consumer<Optional<List<RolloutState>>> done) {
        hop(
                store.list(RolloutCodec.STATUS_KIND, ""),
                result -> {
                    if (result instanceof ListResult.Listed listed) {
                        note(listed.objects());
                    }
                    done.accept(each(result, RolloutStore::state));
                });
    }

    private static DecodeResult<RolloutState> state(StoredObject object) {
        return RolloutCodec.decodeState(object.key().name(), object.value());
    }

    private void note(List<StoredObject> states) {
        stateVersions.clear();
        unreadable.clear();
        for (StoredObject object : states) {
            stateVersions.put(object.key().name(), object.version());
            if (!(state(object) instanceof DecodeResult.Valid<RolloutState>)) {
                unreadable.add(object.key().name());
            }
        }
    }

    /** Writes a state over the version last seen; true where it certainly took effect. */
    void writeState(RolloutState state, Consumer<Boolean> done) {
        String name = state.spec().name();
        long version = stateVersions.getOrDefault(name, ObjectStore.ABSENT_VERSION);
        hop(
                store.write(
                        new ObjectKey(RolloutCodec.STATUS_KIND, name),
                        version,
                        RolloutCodec.encodeState(state)),
                result -> {
                    if (result instanceof WriteResult.Written written) {
                        stateVersions.put(name, written.version());
                    }
                    done.accept(result instanceof WriteResult.Written);
                });
    }

    private <T> Optional<List<T>> each(
            ListResult result, Function<StoredObject, DecodeResult<T>> reader) {
        return result instanceof ListResult.Listed listed
                ? Optional.of(
                        listed.objects().stream()
                                .flatMap(object -> sound(object, reader.apply(object)).stream())
                                .toList())
                : Optional.empty();
    }

    private <T> Optional<T> sound(StoredObject object, DecodeResult<T> result) {
        if (result instanceof DecodeResult.Valid<T> sound) {
            return Optional.of(sound.item());
        }
        if (unsound.add(object.key() + " " + object.version())) {
            Logger.warn(
                    "{}/{} is left out: {}",
                    object.key().kind(),
                    object.key().name(),
                    ((DecodeResult.Invalid<T>) result).problems());
        }
        return Optional.empty();
    }

    private <T> void hop(CompletableFuture<T> future, Consumer<T> done) {
        future.thenAccept(result -> control.execute(() -> done.accept(result)));
    }
}
