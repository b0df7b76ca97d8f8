package org.sardinelift.objects;

import io.prometheus.metrics.core.metrics.Counter;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Object store that counts its calls by operation, kind of object and result. */
public final class MeteredObjectStore implements ObjectStore {
    private static final Counter CALLS =
            Counter.builder()
                    .name("sardinelift_platform_calls_total")
                    .help("Calls of the platform that ended, by call, kind of object and result.")
                    .labelNames("call", "kind", "result")
                    .register();

    private final ObjectStore store;
    private final Map<String, LongAdder> callCounts = new ConcurrentHashMap<>();

    private MeteredObjectStore(ObjectStore store) {
        this.store = store;
    }

    /**
     * Wraps a store to count its calls.
     *
     * @param store store to wrap
     * @return the counting store
     */
    public static MeteredObjectStore wrap(ObjectStore store) {
        return new MeteredObjectStore(store);
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return count("read", key.kind(), store.read(key));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        return count("write", key.kind(), store.write(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return count("delete", key.kind(), store.delete(key, expectedVersion));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return count("list", kind, store.list(kind, namePrefix));
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return count("watch", String.join("+", kinds), store.watch(kinds, afterRevision, wait));
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return count("instances", "", store.instances());
    }

    /**
     * Returns how many calls were made since the start.
     *
     * @return numbers of calls by operation and kind of object
     */
    public Map<String, Long> callCounts() {
        Map<String, Long> sums = new TreeMap<>();
        callCounts.forEach((name, count) -> sums.put(name, count.sum()));
        return sums;
    }

    private <T> CompletableFuture<T> count(String call, String kind, CompletableFuture<T> result) {
        callCounts.computeIfAbsent(call + " " + kind, key -> new LongAdder()).increment();
        return result.whenComplete(
                (value, error) ->
                        CALLS.labelValues(
                                        call,
                                        kind,
                                        error == null ? value.getClass().getSimpleName() : "Failed")
                                .inc());
    }
}
