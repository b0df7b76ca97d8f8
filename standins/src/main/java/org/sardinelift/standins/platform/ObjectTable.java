package org.sardinelift.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Objects with versions, and the history of their changes. Not thread-safe. */
final class ObjectTable {
    private final int historyLength;
    private final Map<String, TreeMap<String, StoredValue>> kinds = new HashMap<>();
    private final Map<String, StoredValue> previous = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision;
    private long compactedRevision;

    ObjectTable(int historyLength) {
        this.historyLength = historyLength;
    }

    long revision() {
        return revision;
    }

    Optional<StoredValue> read(String kind, String name) {
        return Optional.ofNullable(objectsOfKind(kind).get(name));
    }

    /** Returns the version before the newest, as a lagging replica would. */
    Optional<StoredValue> readStale(String kind, String name) {
        return Optional.ofNullable(previous.get(kind + "/" + name)).or(() -> read(kind, name));
    }

    long version(String kind, String name) {
        return read(kind, name).map(StoredValue::version).orElse(0L);
    }

    /** Writes a value, or deletes the object if the value is null; returns the new version. */
    long put(String kind, String name, @Nullable String value) {
        Optional<StoredValue> current = read(kind, name);
        current.ifPresent(state -> previous.put(kind + "/" + name, state));
        long version = current.map(StoredValue::version).orElse(0L) + 1;
        revision++;
        StoredValue state =
                value == null ? null : new StoredValue(kind, name, version, revision, value);
        if (state == null) {
            objectsOfKind(kind).remove(name);
        } else {
            objectsOfKind(kind).put(name, state);
        }
        history.add(new Change(kind, name, revision, state));
        while (history.size() > historyLength) {
            compactedRevision = history.remove().revision();
        }
        return version;
    }

    List<StoredValue> list(String kind, String prefix) {
        return objectsOfKind(kind).tailMap(prefix, true).values().stream()
                .takeWhile(state -> state.name().startsWith(prefix))
                .toList();
    }

    List<StoredValue> listStale(String kind, String prefix) {
        return list(kind, prefix).stream()
                .map(state -> readStale(kind, state.name()).orElse(state))
                .toList();
    }

    boolean compactedSince(long after) {
        return after < compactedRevision;
    }

    List<Change> changesSince(Set<String> watchedKinds, long after) {
        return history.stream()
                .filter(change -> change.revision() > after)
                .filter(change -> watchedKinds.contains(change.kind()))
                .toList();
    }

    void compact() {
        history.clear();
        compactedRevision = revision;
    }

    private TreeMap<String, StoredValue> objectsOfKind(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }
}
