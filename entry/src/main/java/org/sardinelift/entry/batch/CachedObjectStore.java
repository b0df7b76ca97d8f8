package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;

/** Object store with a disk cache for the batch objects that never change once written. */
final class CachedObjectStore implements ObjectStore {
    private static final Set<String> IMMUTABLE_KINDS =
            Set.of(JobHeader.CHUNK_KIND, ResultWriter.KIND);

    private final ObjectStore store;
    private final FolderCache cache;
    private final Executor fileExecutor;

    CachedObjectStore(ObjectStore store, FolderCache cache, Executor files) {
        this.store = store;
        this.cache = cache;
        this.fileExecutor = files;
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        if (!IMMUTABLE_KINDS.contains(key.kind())) {
            return store.read(key);
        }
        return CompletableFuture.supplyAsync(() -> cache.find(key), fileExecutor)
                .thenCompose(
                        found ->
                                found.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                new ReadResult.Found(found.get()))
                                        : store.read(key).thenApply(this::cacheFound));
    }

    private ReadResult cacheFound(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            fileExecutor.execute(() -> cache.put(found.object()));
        }
        return result;
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long version, String value) {
        return store.write(key, version, value);
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return store.delete(key, version);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return store.list(kind, namePrefix);
    }

    @Override
    public CompletableFuture<WatchResult> watch(Set<String> kinds, long after, Duration wait) {
        return store.watch(kinds, after, wait);
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return store.instances();
    }
}
