package org.sardinelift.entry;

import io.prometheus.metrics.core.metrics.Counter;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;

/** Counts the calls of the platform by what came of them. */
final class CountedObjectStore implements ObjectStore {
    private static final Counter CALLS =
            Counter.builder()
                    .name("sardinelift_platform_calls_total")
                    .help("Calls of the platform that ended, by call and result.")
                    .labelNames("call", "result")
                    .register();

    private final ObjectStore store;

    private CountedObjectStore(ObjectStore store) {
        this.store = store;
    }

    /** Counts the calls of a store. */
    static CountedObjectStore over(ObjectStore store) {
        return new CountedObjectStore(store);
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return counted("read", store.read(key));
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long expectedVersion, String value) {
        return counted("write", store.write(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return counted("delete", store.delete(key, expectedVersion));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return counted("list", store.list(kind, namePrefix));
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return counted("watch", store.watch(kinds, afterRevision, wait));
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return counted("instances", store.instances());
    }

    private static <T> CompletableFuture<T> counted(String call, CompletableFuture<T> result) {
        return result.whenComplete(
                (value, error) ->
                        CALLS.labelValues(
                                        call,
                                        error == null ? value.getClass().getSimpleName() : "Failed")
                                .inc());
    }
}
