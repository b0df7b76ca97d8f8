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

/** Reads and writes the objects of roll-outs at the platform; calls back on the control thread. */
final class RolloutStore {
    private static final ObjectKey LEASE_KEY =
            new ObjectKey(RolloutCodec.LEASE_KIND, RolloutCodec.LEASE_NAME);

    private final ObjectStore store;
    private final Executor control;
    private final Map<String, Long> stateVersions = new HashMap<>();
    private final Set<String> loggedInvalid = new HashSet<>();
    private final Set<String> unreadableStates = new HashSet<>();

    RolloutStore(ObjectStore store, Executor control) {
        this.store = store;
        this.control = control;
    }

    /** The lease and its version at the platform. */
    record StoredLease(LeaseRecord value, long version) {}

    /** Reads the lease; empty if the platform did not answer. */
    void readLease(Consumer<Optional<StoredLease>> onDone) {
        completeOnControl(store.read(LEASE_KEY), result -> onDone.accept(toLease(result)));
    }

    private Optional<StoredLease> toLease(ReadResult result) {
        if (result instanceof ReadResult.Absent) {
            return Optional.of(new StoredLease(LeaseRecord.NONE, ObjectStore.ABSENT_VERSION));
        }
        if (!(result instanceof ReadResult.Found found)) {
            return Optional.empty();
        }
        return validItem(found.object(), RolloutCodec.decodeLease(found.object().value()))
                .map(value -> new StoredLease(value, found.object().version()));
    }

    /** Writes the lease if it still has the given version; true if the write was confirmed. */
    void writeLease(LeaseRecord value, long version, Consumer<Boolean> onDone) {
        completeOnControl(
                store.write(LEASE_KEY, version, RolloutCodec.encodeLease(value)),
                result -> onDone.accept(result instanceof WriteResult.Written));
    }

    /**
     * Lists the roll-outs that operators requested; empty if the platform did not answer. A
     * roll-out whose stored state can't be read is left out, so that nothing replaces it.
     */
    void listSpecs(Consumer<Optional<List<RolloutSpec>>> onDone) {
        completeOnControl(
                store.list(RolloutCodec.SPEC_KIND, ""),
                result ->
                        onDone.accept(
                                decodeAll(result, RolloutStore::decodeSpec)
                                        .map(
                                                specs ->
                                                        specs.stream()
                                                                .filter(this::hasReadableState)
                                                                .toList())));
    }

    private static DecodeResult<RolloutSpec> decodeSpec(StoredObject object) {
        return RolloutCodec.decodeSpec(object.key().name(), object.revision(), object.value());
    }

    private boolean hasReadableState(RolloutSpec spec) {
        return !unreadableStates.contains(spec.name());
    }

    /** Lists the stored states of roll-outs; empty if the platform did not answer. */
    void listStates(Consumer<Optional<List<RolloutState>>> onDone) {
        completeOnControl(
                store.list(RolloutCodec.STATUS_KIND, ""),
                result -> {
                    if (result instanceof ListResult.Listed listed) {
                        updateVersions(listed.objects());
                    }
                    onDone.accept(decodeAll(result, RolloutStore::decodeState));
                });
    }

    private static DecodeResult<RolloutState> decodeState(StoredObject object) {
        return RolloutCodec.decodeState(object.key().name(), object.value());
    }

    private void updateVersions(List<StoredObject> states) {
        stateVersions.clear();
        unreadableStates.clear();
        for (StoredObject object : states) {
            stateVersions.put(object.key().name(), object.version());
            if (!(decodeState(object) instanceof DecodeResult.Valid<RolloutState>)) {
                unreadableStates.add(object.key().name());
            }
        }
    }

    /** Writes a state if it still has the version last read; true if the write was confirmed. */
    void writeState(RolloutState state, Consumer<Boolean> onDone) {
        String name = state.spec().name();
        long version = stateVersions.getOrDefault(name, ObjectStore.ABSENT_VERSION);
        completeOnControl(
                store.write(
                        new ObjectKey(RolloutCodec.STATUS_KIND, name),
                        version,
                        RolloutCodec.encodeState(state)),
                result -> {
                    if (result instanceof WriteResult.Written written) {
                        stateVersions.put(name, written.version());
                    }
                    onDone.accept(result instanceof WriteResult.Written);
                });
    }

    private <T> Optional<List<T>> decodeAll(
            ListResult result, Function<StoredObject, DecodeResult<T>> decoder) {
        return result instanceof ListResult.Listed listed
                ? Optional.of(
                        listed.objects().stream()
                                .flatMap(
                                        object -> validItem(object, decoder.apply(object)).stream())
                                .toList())
                : Optional.empty();
    }

    private <T> Optional<T> validItem(StoredObject object, DecodeResult<T> result) {
        if (result instanceof DecodeResult.Valid<T> valid) {
            return Optional.of(valid.item());
        }
        if (loggedInvalid.add(object.key() + " " + object.version())) {
            Logger.warn(
                    "Ignoring {}/{}, which can't be read: {}",
                    object.key().kind(),
                    object.key().name(),
                    ((DecodeResult.Invalid<T>) result).problems());
        }
        return Optional.empty();
    }

    private <T> void completeOnControl(CompletableFuture<T> future, Consumer<T> onDone) {
        future.thenAccept(result -> control.execute(() -> onDone.accept(result)));
    }
}
