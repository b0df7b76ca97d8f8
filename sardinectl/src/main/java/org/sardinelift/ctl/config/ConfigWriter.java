package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.config.WriteOutcome.Overtaken.Compared;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.ConfigCodec;

/**
 * Writes objects over the version that was read. Each write leaves a mark of its own, so that a
 * write whose answer was lost is told from another operator's.
 */
public final class ConfigWriter {
    private static final int MAX_ATTEMPTS = 3;

    private final ObjectStore store;
    private final Supplier<String> marks;

    private ConfigWriter(ObjectStore store, Supplier<String> marks) {
        this.store = store;
        this.marks = marks;
    }

    /**
     * Makes a writer.
     *
     * @param store the platform
     * @param marks gives a mark that no other write has
     * @return the writer
     */
    public static ConfigWriter of(ObjectStore store, Supplier<String> marks) {
        return new ConfigWriter(store, marks);
    }

    /**
     * Writes one object, unless the platform holds the same already.
     *
     * @param entry what to write
     * @param before the object as the operator or this command read it
     * @return what became of it
     */
    public WriteOutcome write(ConfigEntry entry, Optional<StoredObject> before) {
        ObjectNode held = before.map(StoredConfig::value).orElseGet(Json::object);
        long heldVersion = before.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
        boolean same =
                entry.delete()
                        ? before.isEmpty()
                        : before.isPresent() && ObjectDiff.between(held, entry.value()).isEmpty();
        if (same) {
            return new WriteOutcome.Unchanged(
                    entry.ref(), before.map(StoredObject::revision).orElse(0L));
        }
        long expected = entry.version().orElse(heldVersion);
        if (expected != heldVersion) {
            return new WriteOutcome.Overtaken(
                    entry.ref(),
                    expected,
                    heldVersion,
                    Compared.OWN_VALUE,
                    ObjectDiff.between(entry.value(), held));
        }
        return entry.delete() ? delete(entry, expected, held) : put(entry, expected, held);
    }

    private WriteOutcome put(ConfigEntry entry, long expected, ObjectNode held) {
        ObjectKey key = key(entry.ref());
        String mark = marks.get();
        String value = entry.value().deepCopy().put(ConfigCodec.WRITE_MARK_FIELD, mark).toString();
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            WriteResult result = store.write(key, expected, value).join();
            if (result instanceof WriteResult.Written written) {
                return written(entry, written.version(), written.revision(), held);
            }
            if (result instanceof WriteResult.NotWritten refused) {
                return new WriteOutcome.Unreachable(entry.ref(), refused.reason(), false);
            }
            reason = result instanceof WriteResult.Unclear unclear ? unclear.reason() : "";
            ReadResult now = store.read(key).join();
            if (now instanceof ReadResult.Unavailable unavailable) {
                return new WriteOutcome.Unreachable(entry.ref(), unavailable.reason(), true);
            }
            Optional<StoredObject> object = found(now);
            ObjectNode actual = object.map(StoredConfig::value).orElseGet(Json::object);
            if (mark.equals(actual.path(ConfigCodec.WRITE_MARK_FIELD).asText())) {
                StoredObject ours = object.orElseThrow();
                return written(entry, ours.version(), ours.revision(), held);
            }
            long version = object.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            if (version != expected) {
                return overtaken(entry, expected, version, held, actual);
            }
        }
        return new WriteOutcome.Unreachable(entry.ref(), reason, true);
    }

    private WriteOutcome delete(ConfigEntry entry, long expected, ObjectNode held) {
        ObjectKey key = key(entry.ref());
        WriteResult result = store.delete(key, expected).join();
        if (result instanceof WriteResult.Written written) {
            return written(entry, 0, written.revision(), held);
        }
        if (result instanceof WriteResult.NotWritten refused) {
            return new WriteOutcome.Unreachable(entry.ref(), refused.reason(), false);
        }
        ReadResult now = store.read(key).join();
        if (now instanceof ReadResult.Absent absent) {
            return written(entry, 0, absent.revision(), held);
        }
        if (now instanceof ReadResult.Found found && found.object().version() != expected) {
            return overtaken(
                    entry,
                    expected,
                    found.object().version(),
                    held,
                    StoredConfig.value(found.object()));
        }
        return new WriteOutcome.Unreachable(entry.ref(), "the deletion was not confirmed", true);
    }

    private static WriteOutcome written(
            ConfigEntry entry, long version, long revision, ObjectNode held) {
        ObjectNode after = entry.delete() ? Json.object() : entry.value();
        return new WriteOutcome.Written(
                entry.ref(), version, revision, ObjectDiff.between(held, after));
    }

    private static WriteOutcome overtaken(
            ConfigEntry entry, long expected, long actual, ObjectNode before, ObjectNode now) {
        return new WriteOutcome.Overtaken(
                entry.ref(),
                expected,
                actual,
                Compared.EXPECTED_VERSION,
                ObjectDiff.between(before, now));
    }

    private static Optional<StoredObject> found(ReadResult result) {
        return result instanceof ReadResult.Found found
                ? Optional.of(found.object())
                : Optional.empty();
    }

    private static ObjectKey key(ConfigRef ref) {
        return new ObjectKey(ref.kind().label(), ref.name());
    }
}
