package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.objects.InstancesResult;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WatchResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * One entry's way to the platform: answers take time, writes take effect before, after or instead
 * of their answer, reads may be stale, and the way may be cut.
 */
final class FaultyStore implements ObjectStore {
    private final FakeObjectStore store;
    private final VirtualControl.Entry network;
    private final Random random;
    private final JobStateAudit audit;
    private double setFaultRate;
    private boolean setDisconnected;
    private @Nullable ObjectKey pinnedKey;
    private @Nullable ReadResult pinned;
    private int pinnedReads;

    FaultyStore(
            FakeObjectStore store,
            VirtualControl.Entry network,
            Random random,
            JobStateAudit audit) {
        this.store = store;
        this.network = network;
        this.random = random;
        this.audit = audit;
    }

    void setFaultRate(double share) {
        setFaultRate = share;
    }

    void setDisconnected(boolean isCut) {
        setDisconnected = isCut;
    }

    /** Lets the next reads of an object show what it holds now. */
    void pinReads(ObjectKey key, int reads) {
        pinned = store.read(key).join();
        pinnedKey = key;
        pinnedReads = reads;
    }

    private boolean strikes() {
        return random.nextDouble() < setFaultRate;
    }

    private Duration delay() {
        int millis = strikes() ? 1 + random.nextInt(2_000) : 1 + random.nextInt(10);
        return Duration.ofMillis(millis);
    }

    private <T> CompletableFuture<T> later(Supplier<T> answer) {
        CompletableFuture<T> future = new CompletableFuture<>();
        network.schedule(delay(), () -> future.complete(answer.get()));
        return future;
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return later(
                () -> {
                    if (setDisconnected || strikes()) {
                        return new ReadResult.Unavailable("cut");
                    }
                    if (key.equals(pinnedKey) && pinnedReads > 0) {
                        pinnedReads--;
                        return pinned;
                    }
                    store.stale(strikes());
                    ReadResult result = store.read(key).join();
                    store.stale(false);
                    return result;
                });
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long version, String value) {
        return change(() -> audit.write(store, key, version, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return change(() -> store.delete(key, version).join());
    }

    private CompletableFuture<WriteResult> change(Supplier<WriteResult> change) {
        CompletableFuture<WriteResult> future = new CompletableFuture<>();
        network.schedule(
                delay(),
                () -> {
                    if (setDisconnected) {
                        future.complete(new WriteResult.NotWritten("cut"));
                    } else if (!strikes()) {
                        WriteResult result = change.get();
                        network.schedule(delay(), () -> future.complete(result));
                    } else {
                        switch (random.nextInt(3)) {
                            case 0 -> change.get();
                            case 1 -> network.schedule(delay(), change::get);
                            default -> {}
                        }
                        future.complete(new WriteResult.Unclear("no answer"));
                    }
                });
        return future;
    }

    @Override
    public CompletableFuture<ListResult> list(String kind, String prefix) {
        return later(
                () ->
                        setDisconnected || strikes()
                                ? new ListResult.Unavailable("cut")
                                : store.list(kind, prefix).join());
    }

    @Override
    public CompletableFuture<WatchResult> watch(Set<String> kinds, long after, Duration wait) {
        return later(
                () -> {
                    if (setDisconnected || strikes()) {
                        return strikes()
                                ? new WatchResult.Gap()
                                : new WatchResult.Unavailable("cut");
                    }
                    return store.watch(kinds, after, wait).join();
                });
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return later(() -> store.instances().join());
    }
}
