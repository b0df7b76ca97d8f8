package org.sardinelift.objects;

import io.prometheus.metrics.core.metrics.Counter;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls of the platform by what they were for and what came of them. */
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
     * Counts the calls of a store.
     *
     * @param store where the calls go
     * @return the counted store
     */
    public static MeteredObjectStore wrap(ObjectStore store) {
        return new MeteredObjectStore(store);
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return counted("read", key.kind(), store.read(key));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        return counted("write", key.kind(), store.write(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return counted("delete", key.kind(), store.delete(key, expectedVersion));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return counted("list", kind, store.list(kind, namePrefix));
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return counted("watch", String.join("+", kinds), store.watch(kinds, afterRevision, wait));
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return counted("instances", "", store.instances());
    }

    /**
     * Calls that were made since the start.
     *
     * @return their number by call and kind
     */
    public Map<String, Long> callCounts() {
        Map<String, Long> sums = new TreeMap<>();
        callCounts.forEach((name, count) -> sums.put(name, count.sum()));
        return sums;
    }

    private <T> CompletableFuture<T> counted(
            String call, String kind, CompletableFuture<T> result) {
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
