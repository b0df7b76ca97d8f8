package org.sardinelift.entry.batch;

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
import org.sardinelift.testkit.FakeObjectStore;

/** Lets a test read results through an entry that claims no jobs, as it can't write its lease. */
record ReadOnlyStore(FakeObjectStore store) implements ObjectStore {
    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return store.read(key);
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long version, String value) {
        return CompletableFuture.completedFuture(new WriteResult.NotWritten("read only"));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return CompletableFuture.completedFuture(new WriteResult.NotWritten("read only"));
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String prefix) {
        return store.list(kind, prefix);
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
