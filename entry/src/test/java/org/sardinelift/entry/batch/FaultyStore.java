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
 * One entry's connection to the platform, with faults: answers are slow, reads may be stale, a
 * write without an answer takes effect at once, later or never, and the connection may be cut.
 */
final class FaultyStore implements ObjectStore {
    private final FakeObjectStore store;
    private final VirtualControl.Entry network;
    private final Random random;
    private final JobStateAudit audit;
    private double faultRate;
    private boolean isDisconnected;
    private @Nullable ObjectKey pinnedKey;
    private @Nullable ReadResult pinnedResult;
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

    void setFaultRate(double rate) {
        faultRate = rate;
    }

    void setDisconnected(boolean disconnected) {
        isDisconnected = disconnected;
    }

    /** Makes the next reads of an object return its present value, so that they become stale. */
    void pinReads(ObjectKey key, int reads) {
        pinnedResult = store.read(key).join();
        pinnedKey = key;
        pinnedReads = reads;
    }

    private boolean drawFault() {
        return random.nextDouble() < faultRate;
    }

    private Duration delay() {
        int millis = drawFault() ? 1 + random.nextInt(2_000) : 1 + random.nextInt(10);
        return Duration.ofMillis(millis);
    }

    private <T> CompletableFuture<T> answerLater(Supplier<T> answer) {
        CompletableFuture<T> future = new CompletableFuture<>();
        network.schedule(delay(), () -> future.complete(answer.get()));
        return future;
    }

    @Override
    public CompletableFuture<ReadResult> read(ObjectKey key) {
        return answerLater(
                () -> {
                    if (isDisconnected || drawFault()) {
                        return new ReadResult.Unavailable("cut");
                    }
                    if (key.equals(pinnedKey) && pinnedReads > 0) {
                        pinnedReads--;
                        return pinnedResult;
                    }
                    store.setStaleReads(drawFault());
                    ReadResult result = store.read(key).join();
                    store.setStaleReads(false);
                    return result;
                });
    }

    @Override
    public CompletableFuture<WriteResult> write(ObjectKey key, long version, String value) {
        return applyChange(() -> audit.write(store, key, version, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(ObjectKey key, long version) {
        return applyChange(() -> store.delete(key, version).join());
    }

    private CompletableFuture<WriteResult> applyChange(Supplier<WriteResult> change) {
        CompletableFuture<WriteResult> future = new CompletableFuture<>();
        network.schedule(
                delay(),
                () -> {
                    if (isDisconnected) {
                        future.complete(new WriteResult.NotWritten("cut"));
                    } else if (!drawFault()) {
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
        return answerLater(
                () ->
                        isDisconnected || drawFault()
                                ? new ListResult.Unavailable("cut")
                                : store.list(kind, prefix).join());
    }

    @Override
    public CompletableFuture<WatchResult> watch(Set<String> kinds, long after, Duration wait) {
        return answerLater(
                () -> {
                    if (isDisconnected || drawFault()) {
                        return drawFault()
                                ? new WatchResult.Gap()
                                : new WatchResult.Unavailable("cut");
                    }
                    return store.watch(kinds, after, wait).join();
                });
    }

    @Override
    public CompletableFuture<InstancesResult> instances() {
        return answerLater(() -> store.instances().join());
    }
}
