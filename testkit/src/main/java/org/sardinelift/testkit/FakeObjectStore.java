package org.sardinelift.testkit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;

/**
 * In-memory fake of the platform's object API. All calls complete on the calling thread; a watch
 * returns the changes so far without waiting. Tests can set faults: outage, lost answers and stale
 * reads.
 */
public final class FakeObjectStore implements ObjectStore {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, StoredObject> previous = new HashMap<>();
    private final List<WatchResult.Change> history = new ArrayList<>();
    private List<InstancesResult.Instance> listed = List.of();
    private long revision;
    private long compactedRevision;
    private boolean isDown;
    private boolean hasStaleReads;
    private int answersToLose;
    private int writesToDrop;
    private int calls;

    /**
     * Starts or ends an outage of the platform.
     *
     * @param down whether all following calls fail
     */
    public synchronized void setDown(boolean down) {
        isDown = down;
    }

    /**
     * Switches stale reads on or off.
     *
     * @param stale whether following reads return the version before the newest
     */
    public synchronized void setStaleReads(boolean stale) {
        hasStaleReads = stale;
    }

    /**
     * Loses the answers to the next writes, which take effect nevertheless.
     *
     * @param count number of writes
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Drops the next writes: they have no effect, and their result is unclear.
     *
     * @param count number of writes
     */
    public synchronized void loseRequests(int count) {
        writesToDrop = count;
    }

    /** Discards the history of changes, so that a watch from an older revision reports a gap. */
    public synchronized void compact() {
        history.clear();
        compactedRevision = revision;
    }

    /**
     * Sets the instances that the platform lists; real lists lag behind the fleet.
     *
     * @param instances the listed instances
     */
    public synchronized void list(List<InstancesResult.Instance> instances) {
        listed = List.copyOf(instances);
    }

    /**
     * Returns the number of calls so far, including watches.
     *
     * @return number of calls
     */
    public synchronized int calls() {
        return calls;
    }

    /**
     * Returns the revision of the last write.
     *
     * @return revision of the store
     */
    public synchronized long revision() {
        return revision;
    }

    @Override
    public synchronized CompletableFuture<ReadResult> read(ObjectKey key) {
        calls++;
        if (isDown) {
            return completed(new ReadResult.Unavailable("the platform is down"));
        }
        String id = id(key);
        StoredObject object =
                hasStaleReads && previous.containsKey(id) ? previous.get(id) : objects.get(id);
        return completed(
                object == null ? new ReadResult.Absent(revision) : new ReadResult.Found(object));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expected, String value) {
        return change(key, expected, version -> new StoredObject(key, version, revision, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expected) {
        return change(key, expected, version -> null);
    }

    private synchronized CompletableFuture<WriteResult> change(
            ObjectKey key, long expected, Function<Long, StoredObject> next) {
        calls++;
        if (isDown) {
            return completed(new WriteResult.NotWritten("the platform is down"));
        }
        if (writesToDrop > 0) {
            writesToDrop--;
            return completed(new WriteResult.Unclear("no answer"));
        }
        String id = id(key);
        StoredObject current = objects.get(id);
        long actual = current == null ? ABSENT_VERSION : current.version();
        if (actual != expected) {
            return completed(new WriteResult.Conflict(actual));
        }
        revision++;
        StoredObject written = next.apply(actual + 1);
        if (current != null) {
            previous.put(id, current);
        }
        if (written == null) {
            objects.remove(id);
        } else {
            objects.put(id, written);
        }
        history.add(new WatchResult.Change(key, revision, written));
        if (answersToLose > 0) {
            answersToLose--;
            return completed(new WriteResult.Unclear("the answer was lost"));
        }
        return completed(new WriteResult.Written(actual + 1, revision));
    }

    @Override
    public synchronized CompletableFuture<ListResult> list(String kind, String namePrefix) {
        calls++;
        if (isDown) {
            return completed(new ListResult.Unavailable("the platform is down"));
        }
        List<StoredObject> found =
                objects.values().stream()
                        .filter(object -> object.key().kind().equals(kind))
                        .filter(object -> object.key().name().startsWith(namePrefix))
                        .toList();
        return completed(new ListResult.Listed(revision, found));
    }

    @Override
    public synchronized CompletableFuture<WatchResult> watch(
            Set<String> kinds, long after, Duration wait) {
        calls++;
        if (isDown) {
            return completed(new WatchResult.Unavailable("the platform is down"));
        }
        if (after < compactedRevision) {
            return completed(new WatchResult.Gap());
        }
        List<WatchResult.Change> changes =
                history.stream()
                        .filter(change -> change.revision() > after)
                        .filter(change -> kinds.contains(change.key().kind()))
                        .toList();
        return completed(new WatchResult.Changes(revision, changes));
    }

    @Override
    public synchronized CompletableFuture<InstancesResult> instances() {
        calls++;
        return completed(
                isDown
                        ? new InstancesResult.Unavailable("the platform is down")
                        : new InstancesResult.Instances(listed));
    }

    private static String id(ObjectKey key) {
        return key.kind() + "/" + key.name();
    }

    private static <T> CompletableFuture<T> completed(T result) {
        return CompletableFuture.completedFuture(result);
    }
}
