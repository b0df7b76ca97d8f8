package org.sardinelift.ctl.command;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.RolloutCodec;

/** Reads and writes the stored objects of one roll-out. */
final class RolloutObjects {
    private static final int MAX_ATTEMPTS = 5;

    private final ObjectStore store;
    private final String name;

    private RolloutObjects(ObjectStore store, String name) {
        this.store = store;
        this.name = name;
    }

    static RolloutObjects of(ObjectStore store, String name) {
        return new RolloutObjects(store, name);
    }

    /** The object that was read, or the command's outcome if it can't be read. */
    sealed interface ReadOutcome<T> {
        record Read<T>(Optional<T> value, long version) implements ReadOutcome<T> {}

        record Failed<T>(Outcome outcome) implements ReadOutcome<T> {}
    }

    ReadOutcome<RolloutSpec> readSpec() {
        return read(
                RolloutCodec.SPEC_KIND,
                object -> RolloutCodec.decodeSpec(name, object.revision(), object.value()));
    }

    ReadOutcome<RolloutState> readState() {
        return read(
                RolloutCodec.STATUS_KIND, object -> RolloutCodec.decodeState(name, object.value()));
    }

    private <T> ReadOutcome<T> read(String kind, Function<StoredObject, DecodeResult<T>> decoder) {
        ReadResult result = store.read(new ObjectKey(kind, name)).join();
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new ReadOutcome.Failed<>(StoreOutcomes.unavailable(unavailable.reason()));
        }
        if (!(result instanceof ReadResult.Found found)) {
            return new ReadOutcome.Read<>(Optional.empty(), ObjectStore.ABSENT_VERSION);
        }
        DecodeResult<T> value = decoder.apply(found.object());
        return value instanceof DecodeResult.Valid<T> valid
                ? new ReadOutcome.Read<>(Optional.of(valid.item()), found.object().version())
                : new ReadOutcome.Failed<>(
                        StoreOutcomes.invalid(((DecodeResult.Invalid<T>) value).problems()));
    }

    /**
     * Writes the specification if the stored version is unchanged. After an unclear answer the
     * stored value shows whether the write took effect.
     */
    Outcome writeSpec(RolloutSpec wanted, long version, String outcome) {
        String value = RolloutCodec.encodeSpec(wanted);
        DecodeResult<RolloutSpec> decoded = RolloutCodec.decodeSpec(name, 0, value);
        if (decoded instanceof DecodeResult.Invalid<RolloutSpec> invalid) {
            return StoreOutcomes.invalid(invalid.problems());
        }
        ObjectKey key = new ObjectKey(RolloutCodec.SPEC_KIND, name);
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            WriteResult result = store.write(key, version, value).join();
            if (result instanceof WriteResult.Written) {
                return success(wanted, outcome);
            }
            if (result instanceof WriteResult.NotWritten failure) {
                return unconfirmed(failure.reason(), "Nothing was written; try again.");
            }
            reason = result instanceof WriteResult.Unclear unclear ? unclear.reason() : reason;
            ReadResult current = store.read(key).join();
            if (current instanceof ReadResult.Found found && found.object().value().equals(value)) {
                return success(wanted, outcome);
            }
            long storedVersion =
                    current instanceof ReadResult.Found found ? found.object().version() : 0;
            if (!(current instanceof ReadResult.Unavailable) && storedVersion != version) {
                return Outcome.failed(
                        ExitCode.CONFLICT,
                        "Another operator changed the roll-out " + name + " first",
                        "Check it with rollout status, then decide whether to repeat this.");
            }
        }
        return unconfirmed(reason, "Check with rollout status: it may have been written.");
    }

    private static Outcome unconfirmed(String reason, String remedy) {
        return Outcome.failed(
                ExitCode.UNREACHABLE, "The platform did not confirm the write: " + reason, remedy);
    }

    private Outcome success(RolloutSpec wanted, String text) {
        return Outcome.ok(
                Json.newObject().put("name", name).put("id", wanted.id()).put("outcome", text),
                "Roll-out " + name + " is " + text);
    }

    static Outcome invalid(String path, String expected, String found, String remedy) {
        return StoreOutcomes.invalid(List.of(new ConfigProblem(path, expected, found, remedy)));
    }
}
