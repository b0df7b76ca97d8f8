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

/** Counts the reads, writes and watches of one or more entries. */
final class CountingStore implements ObjectStore {
    private final FakeObjectStore store;
    private int reads;
    private int writes;
    private int watches;

    CountingStore(FakeObjectStore store) {
        this.store = store;
    }

    int reads() {
        return reads;
    }

    int writes() {
        return writes;
    }

    int watches() {
        return watches;
    }

    int calls() {
        return reads + writes + watches;
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        reads++;
        return store.read(key);
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long version, String value) {
        writes++;
        return store.write(key, version, value);
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        writes++;
        return store.delete(key, version);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String prefix) {
        reads++;
        return store.list(kind, prefix);
    }

    @Override
    public CompletableFuture<WatchResult> watch(Set<String> kinds, long after, Duration wait) {
        watches++;
        return store.watch(kinds, after, wait);
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return store.instances();
    }
}
