package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.config.WriteOutcome.Conflict.DiffBase;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.ConfigCodec;

/**
 * Writes configuration objects with compare-and-set on the version that was read.
 *
 * <p>Each write stores a unique mark in the object. After a lost answer the mark shows whether the
 * stored object is this write or another operator's.
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
     * Creates a writer.
     *
     * @param store the platform
     * @param marks supplies a unique mark for each write
     * @return the writer
     */
    public static ConfigWriter of(ObjectStore store, Supplier<String> marks) {
        return new ConfigWriter(store, marks);
    }

    /**
     * Writes one object, unless the stored object is the same already.
     *
     * @param entry the object to write
     * @param before the stored object as it was read, empty if there was none
     * @return the outcome
     */
    public WriteOutcome write(ConfigEntry entry, Optional<StoredObject> before) {
        ObjectNode stored = before.map(StoredConfig::parseValue).orElseGet(Json::newObject);
        long storedVersion = before.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
        boolean isSame =
                entry.isDeletion()
                        ? before.isEmpty()
                        : before.isPresent() && ObjectDiff.between(stored, entry.value()).isEmpty();
        if (isSame) {
            return new WriteOutcome.Unchanged(
                    entry.ref(), before.map(StoredObject::revision).orElse(0L));
        }
        long expected = entry.version().orElse(storedVersion);
        if (expected != storedVersion) {
            return new WriteOutcome.Conflict(
                    entry.ref(),
                    expected,
                    storedVersion,
                    DiffBase.OWN_VALUE,
                    ObjectDiff.between(entry.value(), stored));
        }
        return entry.isDeletion() ? delete(entry, expected, stored) : put(entry, expected, stored);
    }

    private WriteOutcome put(ConfigEntry entry, long expected, ObjectNode stored) {
        ObjectKey key = key(entry.ref());
        String mark = marks.get();
        String value = entry.value().deepCopy().put(ConfigCodec.WRITE_MARK_FIELD, mark).toString();
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            WriteResult result = store.write(key, expected, value).join();
            if (result instanceof WriteResult.Written written) {
                return written(entry, written.version(), written.revision(), stored);
            }
            if (result instanceof WriteResult.NotWritten failure) {
                return new WriteOutcome.Unreachable(entry.ref(), failure.reason(), false);
            }
            reason = result instanceof WriteResult.Unclear unclear ? unclear.reason() : "";
            ReadResult current = store.read(key).join();
            if (current instanceof ReadResult.Unavailable unavailable) {
                return new WriteOutcome.Unreachable(entry.ref(), unavailable.reason(), true);
            }
            Optional<StoredObject> object = found(current);
            ObjectNode actual = object.map(StoredConfig::parseValue).orElseGet(Json::newObject);
            if (mark.equals(actual.path(ConfigCodec.WRITE_MARK_FIELD).asText())) {
                StoredObject own = object.orElseThrow();
                return written(entry, own.version(), own.revision(), stored);
            }
            long version = object.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            if (version != expected) {
                return conflict(entry, expected, version, stored, actual);
            }
        }
        return new WriteOutcome.Unreachable(entry.ref(), reason, true);
    }

    private WriteOutcome delete(ConfigEntry entry, long expected, ObjectNode stored) {
        ObjectKey key = key(entry.ref());
        WriteResult result = store.delete(key, expected).join();
        if (result instanceof WriteResult.Written written) {
            return written(entry, 0, written.revision(), stored);
        }
        if (result instanceof WriteResult.NotWritten failure) {
            return new WriteOutcome.Unreachable(entry.ref(), failure.reason(), false);
        }
        ReadResult current = store.read(key).join();
        if (current instanceof ReadResult.Absent absent) {
            return written(entry, 0, absent.revision(), stored);
        }
        if (current instanceof ReadResult.Found found && found.object().version() != expected) {
            return conflict(
                    entry,
                    expected,
                    found.object().version(),
                    stored,
                    StoredConfig.parseValue(found.object()));
        }
        return new WriteOutcome.Unreachable(entry.ref(), "the deletion was not confirmed", true);
    }

    private static WriteOutcome written(
            ConfigEntry entry, long version, long revision, ObjectNode stored) {
        ObjectNode after = entry.isDeletion() ? Json.newObject() : entry.value();
        return new WriteOutcome.Written(
                entry.ref(), version, revision, ObjectDiff.between(stored, after));
    }

    private static WriteOutcome conflict(
            ConfigEntry entry, long expected, long actual, ObjectNode before, ObjectNode current) {
        return new WriteOutcome.Conflict(
                entry.ref(),
                expected,
                actual,
                DiffBase.EXPECTED_VERSION,
                ObjectDiff.between(before, current));
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
