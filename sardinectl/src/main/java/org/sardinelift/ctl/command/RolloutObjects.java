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

/** The objects of one roll-out at the platform. */
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

    /** What was read, or the command's outcome where it could not be. */
    sealed interface Reading<T> {
        record Read<T>(Optional<T> value, long version) implements Reading<T> {}

        record Failed<T>(Outcome outcome) implements Reading<T> {}
    }

    Reading<RolloutSpec> spec() {
        return read(
                RolloutCodec.SPEC_KIND,
                object -> RolloutCodec.decodeSpec(name, object.revision(), object.value()));
    }

    Reading<RolloutState> state() {
        return read(
                RolloutCodec.STATUS_KIND, object -> RolloutCodec.decodeState(name, object.value()));
    }

    private <T> Reading<T> read(String kind, Function<StoredObject, DecodeResult<T>> reader) {
        ReadResult result = store.read(new ObjectKey(kind, name)).join();
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new Reading.Failed<>(StoreOutcomes.unavailable(unavailable.reason()));
        }
        if (!(result instanceof ReadResult.Found found)) {
            return new Reading.Read<>(Optional.empty(), ObjectStore.ABSENT_VERSION);
        }
        DecodeResult<T> value = reader.apply(found.object());
        return value instanceof DecodeResult.Valid<T> sound
                ? new Reading.Read<>(Optional.of(sound.item()), found.object().version())
                : new Reading.Failed<>(
                        StoreOutcomes.invalid(((DecodeResult.Invalid<T>) value).problems()));
    }

    /** Writes what is wanted over a version; its own write is known again by what it holds. */
    Outcome write(RolloutSpec wanted, long version, String done) {
        String value = RolloutCodec.encodeSpec(wanted);
        DecodeResult<RolloutSpec> checked = RolloutCodec.decodeSpec(name, 0, value);
        if (checked instanceof DecodeResult.Invalid<RolloutSpec> unsound) {
            return StoreOutcomes.invalid(unsound.problems());
        }
        ObjectKey key = new ObjectKey(RolloutCodec.SPEC_KIND, name);
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            WriteResult result = store.write(key, version, value).join();
            if (result instanceof WriteResult.Written) {
                return done(wanted, done);
            }
            if (result instanceof WriteResult.NotWritten refused) {
                return unreachable(refused.reason(), "Nothing was written; try again.");
            }
            reason = result instanceof WriteResult.Unclear unclear ? unclear.reason() : reason;
            ReadResult now = store.read(key).join();
            if (now instanceof ReadResult.Found found && found.object().value().equals(value)) {
                return done(wanted, done);
            }
            long held = now instanceof ReadResult.Found found ? found.object().version() : 0;
            if (!(now instanceof ReadResult.Unavailable) && held != version) {
                return Outcome.failed(
                        ExitCode.CONFLICT,
                        "Another operator changed the roll-out " + name + " first",
                        "Look at it with rollout status, then decide again.");
            }
        }
        return unreachable(reason, "Look at rollout status: it may have been written.");
    }

    private static Outcome unreachable(String reason, String remedy) {
        return Outcome.failed(ExitCode.UNREACHABLE, "No clear answer: " + reason, remedy);
    }

    private Outcome done(RolloutSpec wanted, String text) {
        return Outcome.ok(
                Json.object().put("name", name).put("id", wanted.id()).put("outcome", text),
                "Roll-out " + name + " is " + text);
    }

    static Outcome invalid(String path, String expected, String found, String remedy) {
        return StoreOutcomes.invalid(List.of(new ConfigProblem(path, expected, found, remedy)));
    }
}
