package org.sardinelift.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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

/** A store whose writes, while it holds them, get no response until the test executes them. */
final class LateWriteStore implements ObjectStore {
    private final FakeObjectStore store = new FakeObjectStore();
    private final List<Runnable> heldWrites = new ArrayList<>();
    private boolean holdsWrites;

    FakeObjectStore inner() {
        return store;
    }

    synchronized void setHoldsWrites(boolean holds) {
        holdsWrites = holds;
    }

    /** Executes the held writes, each if its condition still holds. */
    synchronized void executeHeldWrites() {
        heldWrites.forEach(Runnable::run);
        heldWrites.clear();
    }

    synchronized int heldWriteCount() {
        return heldWrites.size();
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return store.read(key);
    }

    @Override
    public synchronized CompletableFuture<WriteResult> write(
            ObjectKey key, long expectedVersion, String value) {
        if (!holdsWrites) {
            return store.write(key, expectedVersion, value);
        }
        heldWrites.add(() -> store.write(key, expectedVersion, value));
        return CompletableFuture.completedFuture(new WriteResult.Unclear("no response"));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long expectedVersion) {
        return store.delete(key, expectedVersion);
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String namePrefix) {
        return store.list(kind, namePrefix);
    }

    @Override
    public CompletableFuture<WatchResult> watch(
            Set<String> kinds, long afterRevision, Duration wait) {
        return store.watch(kinds, afterRevision, wait);
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return store.instances();
    }
}
