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
 * The platform's object API in memory, answering on the calling thread. Faults are set by the test:
 * outage, lost answers, stale reads. A watch answers at once with what there is.
 */
public final class FakeObjectStore implements ObjectStore {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, StoredObject> previous = new HashMap<>();
    private final List<WatchResult.Change> log = new ArrayList<>();
    private List<InstancesResult.Instance> listed = List.of();
    private long revision;
    private long compactedBefore;
    private boolean down;
    private boolean stale;
    private int answersToLose;
    private int writesToRefuse;
    private int calls;

    /**
     * Sets an outage of the platform.
     *
     * @param isDown whether every call fails from now on
     */
    public synchronized void down(boolean isDown) {
        down = isDown;
    }

    /**
     * Sets stale reads.
     *
     * @param isStale whether reads show the version before the newest from now on
     */
    public synchronized void stale(boolean isStale) {
        stale = isStale;
    }

    /**
     * Loses the answers of the next writes, which take effect all the same.
     *
     * @param count how many
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Drops the next writes, whose answers are unclear and which take no effect.
     *
     * @param count how many
     */
    public synchronized void dropWrites(int count) {
        writesToRefuse = count;
    }

    /** Forgets the history, so that every watch from an older revision meets a gap. */
    public synchronized void compact() {
        log.clear();
        compactedBefore = revision;
    }

    /**
     * Sets the lagging list of instances.
     *
     * @param instances what the list shows from now on
     */
    public synchronized void list(List<InstancesResult.Instance> instances) {
        listed = List.copyOf(instances);
    }

    /**
     * Calls made so far, waiting watches included.
     *
     * @return their number
     */
    public synchronized int calls() {
        return calls;
    }

    /**
     * The store's revision.
     *
     * @return revision of the last write
     */
    public synchronized long revision() {
        return revision;
    }

    @Override
    public synchronized CompletableFuture<ReadResult> read(ObjectKey key) {
        calls++;
        if (down) {
            return done(new ReadResult.Unavailable("the platform is down"));
        }
        String id = id(key);
        StoredObject object =
                stale && previous.containsKey(id) ? previous.get(id) : objects.get(id);
        return done(
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
        if (down) {
            return done(new WriteResult.NotWritten("the platform is down"));
        }
        if (writesToRefuse > 0) {
            writesToRefuse--;
            return done(new WriteResult.Unclear("no answer"));
        }
        String id = id(key);
        StoredObject current = objects.get(id);
        long actual = current == null ? ABSENT_VERSION : current.version();
        if (actual != expected) {
            return done(new WriteResult.Conflict(actual));
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
        log.add(new WatchResult.Change(key, revision, written));
        if (answersToLose > 0) {
            answersToLose--;
            return done(new WriteResult.Unclear("the answer was lost"));
        }
        return done(new WriteResult.Written(actual + 1, revision));
    }

    @Override
    public synchronized CompletableFuture<ListResult> list(String kind, String namePrefix) {
        calls++;
        if (down) {
            return done(new ListResult.Unavailable("the platform is down"));
        }
        List<StoredObject> found =
                objects.values().stream()
                        .filter(object -> object.key().kind().equals(kind))
                        .filter(object -> object.key().name().startsWith(namePrefix))
                        .toList();
        return done(new ListResult.Listed(revision, found));
    }

    @Override
    public synchronized CompletableFuture<WatchResult> watch(
            Set<String> kinds, long after, Duration wait) {
        calls++;
        if (down) {
            return done(new WatchResult.Unavailable("the platform is down"));
        }
        if (after < compactedBefore) {
            return done(new WatchResult.Gap());
        }
        List<WatchResult.Change> changes =
                log.stream()
                        .filter(change -> change.revision() > after)
                        .filter(change -> kinds.contains(change.key().kind()))
                        .toList();
        return done(new WatchResult.Changes(revision, changes));
    }

    @Override
    public synchronized CompletableFuture<InstancesResult> instances() {
        calls++;
        return done(
                down
                        ? new InstancesResult.Unavailable("the platform is down")
                        : new InstancesResult.Instances(listed));
    }

    private static String id(ObjectKey key) {
        return key.kind() + "/" + key.name();
    }

    private static <T> CompletableFuture<T> done(T result) {
        return CompletableFuture.completedFuture(result);
    }
}
