package org.sardinelift.objects;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. Every call counts against the platform's limits, a waiting watch too.
 * No future fails: what went wrong is part of the result.
 */
public interface ObjectStore {
    /** Largest value, bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Expected version that means the object must not exist yet. */
    long ABSENT_VERSION = 0;

    /**
     * Reads one object.
     *
     * @param key its name
     * @return what was read
     */
    CompletableFuture<ReadResult> read(ObjectKey key);

    /**
     * Writes one object where it still has the expected version.
     *
     * @param key its name
     * @param expectedVersion the version that must be there, {@link #ABSENT_VERSION} to create
     * @param value new value
     * @return what became of the write
     */
    CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value);

    /**
     * Deletes one object where it still has the expected version.
     *
     * @param key its name
     * @param expectedVersion the version that must be there
     * @return what became of the deletion
     */
    CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion);

    /**
     * Lists objects of a kind.
     *
     * @param kind kind of object
     * @param namePrefix prefix of the names, empty for all
     * @return the objects at one revision
     */
    CompletableFuture<ListResult> list(String kind, String namePrefix);

    /**
     * Waits for changes.
     *
     * @param kinds kinds to watch
     * @param afterRevision the last revision that the caller holds
     * @param wait longest time to wait
     * @return changes, none, or a gap
     */
    CompletableFuture<WatchResult> watch(Set<String> kinds, long afterRevision, Duration wait);

    /**
     * Reads the lagging list of instances.
     *
     * @return live and leaving instances
     */
    CompletableFuture<InstancesResult> instances();
}
