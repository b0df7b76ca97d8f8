package org.sardinelift.objects;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object API. Every call counts against the platform's limits, including a
 * waiting watch. The futures never fail: errors are part of the result.
 */
public interface ObjectStore {
    /** Largest size of a value. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Expected version of an object that must not exist yet. */
    long ABSENT_VERSION = 0;

    /**
     * Reads one object.
     *
     * @param key kind and name of the object
     * @return outcome of the read
     */
    CompletableFuture<ReadResult> read(ObjectKey key);

    /**
     * Writes one object if it still has the expected version.
     *
     * @param key kind and name of the object
     * @param expectedVersion version that the object must have, {@link #ABSENT_VERSION} to create
     * @param value new value
     * @return outcome of the write
     */
    CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value);

    /**
     * Deletes one object if it still has the expected version.
     *
     * @param key kind and name of the object
     * @param expectedVersion version that the object must have
     * @return outcome of the deletion
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
     * @param afterRevision last revision that the caller knows
     * @param wait longest time to wait
     * @return the changes, none if the wait ran out, or a gap in the history
     */
    CompletableFuture<WatchResult> watch(Set<String> kinds, long afterRevision, Duration wait);

    /**
     * Reads the platform's list of instances, which lags behind the actual state.
     *
     * @return live and leaving instances
     */
    CompletableFuture<InstancesResult> instances();
}
