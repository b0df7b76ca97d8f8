package org.sardinelift.entry.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.sardinelift.core.batch.EntryRendezvous;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.tinylog.Logger;

/**
 * Removes jobs whose retention has passed. Each shard of the expiries is swept by the entry to
 * which it is assigned. The entry lists one time bucket after another, and only buckets that have
 * passed.
 */
final class JobSweeper {
    /** Kind of the objects that store how far a shard has been swept. */
    static final String KIND = "job-sweep";

    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(1);
    private static final long SWEEP_MARGIN_MS = Expiry.BUCKET_MS;
    private static final int BUCKETS_PER_CURSOR_WRITE = 10;

    private final JobStore store;
    private final BatchSettings settings;
    private final String self;
    private final Supplier<Collection<String>> eligibleEntries;
    private final Map<Integer, Cursor> cursors = new HashMap<>();
    private int currentShard;
    private boolean isBusy;

    JobSweeper(
            JobStore store,
            BatchSettings settings,
            String self,
            Supplier<Collection<String>> eligibleEntries) {
        this.store = store;
        this.settings = settings;
        this.self = self;
        this.eligibleEntries = eligibleEntries;
    }

    /**
     * How far a shard has been swept.
     *
     * @param bucket first time bucket that is not known to be empty
     * @param storedBucket bucket in the stored object
     * @param version version of the stored object
     */
    private record Cursor(long bucket, long storedBucket, long version) {
        Cursor next() {
            return new Cursor(bucket + 1, storedBucket, version);
        }
    }

    void start() {
        store.control().repeat(SWEEP_PERIOD, this::sweep);
    }

    private void sweep() {
        Collection<String> entries = eligibleEntries.get();
        cursors.keySet().removeIf(shard -> !isAssignedHere(shard, entries));
        currentShard = (currentShard + 1) % Expiry.SHARDS;
        if (!isBusy && isAssignedHere(currentShard, entries)) {
            isBusy = true;
            sweepShard(currentShard);
        }
    }

    private boolean isAssignedHere(int shard, Collection<String> entries) {
        return EntryRendezvous.choose("sweep-" + shard, entries).filter(self::equals).isPresent();
    }

    private void sweepShard(int shard) {
        Cursor cursor = cursors.get(shard);
        if (cursor == null) {
            loadCursor(shard);
        } else if ((cursor.bucket() + 1) * Expiry.BUCKET_MS + SWEEP_MARGIN_MS
                > store.control().epochMillis()) {
            isBusy = false;
        } else {
            store.list(
                    Expiry.KIND,
                    Expiry.namePrefix(shard, cursor.bucket()),
                    result -> onDue(shard, cursor, result));
        }
    }

    private void scheduleNextStep(int shard) {
        store.control()
                .schedule(
                        settings.sweepPause(),
                        () -> {
                            if (isAssignedHere(shard, eligibleEntries.get())) {
                                sweepShard(shard);
                            } else {
                                isBusy = false;
                            }
                        });
    }

    private void onDue(int shard, Cursor cursor, ListResult result) {
        if (!(result instanceof ListResult.Listed listed)) {
            isBusy = false;
        } else if (listed.objects().isEmpty()) {
            advance(shard, cursor.next());
        } else {
            removeJobs(shard, listed.objects());
        }
    }

    private void removeJobs(int shard, List<StoredObject> due) {
        if (due.isEmpty()) {
            scheduleNextStep(shard);
            return;
        }
        new JobRemoval(
                        store,
                        settings,
                        Expiry.of(due.get(0)),
                        isHandled -> {
                            if (isHandled) {
                                removeJobs(shard, due.subList(1, due.size()));
                            } else {
                                isBusy = false;
                            }
                        })
                .start();
    }

    private void advance(int shard, Cursor cursor) {
        cursors.put(shard, cursor);
        if (cursor.bucket() - cursor.storedBucket() < BUCKETS_PER_CURSOR_WRITE) {
            scheduleNextStep(shard);
            return;
        }
        store.write(
                key(shard),
                cursor.version(),
                BatchJson.newObject().put("bucket", cursor.bucket()).toString(),
                result -> {
                    if (result instanceof WriteResult.Written written) {
                        cursors.put(
                                shard,
                                new Cursor(cursor.bucket(), cursor.bucket(), written.version()));
                    } else {
                        cursors.remove(shard);
                    }
                    scheduleNextStep(shard);
                });
    }

    private void loadCursor(int shard) {
        store.read(
                key(shard),
                read -> {
                    if (read instanceof ReadResult.Found found) {
                        long bucket =
                                BatchJson.parseStored(found.object().value())
                                        .path("bucket")
                                        .asLong();
                        setCursor(shard, bucket, found.object().version());
                    } else if (read instanceof ReadResult.Absent) {
                        initCursor(shard);
                    } else {
                        isBusy = false;
                    }
                });
    }

    /** Starts at the earliest expiry of a shard that was never swept. */
    private void initCursor(int shard) {
        store.list(
                Expiry.KIND,
                Expiry.namePrefix(shard),
                result -> {
                    if (result instanceof ListResult.Listed listed) {
                        long now = store.control().epochMillis();
                        long earliestMs =
                                listed.objects().stream()
                                        .mapToLong(object -> Expiry.of(object).dueMs())
                                        .min()
                                        .orElse(now);
                        Logger.info("Expiry shard {} is swept for the first time", shard);
                        setCursor(
                                shard,
                                Math.min(earliestMs, now) / Expiry.BUCKET_MS,
                                ObjectStore.ABSENT_VERSION);
                    } else {
                        isBusy = false;
                    }
                });
    }

    private void setCursor(int shard, long bucket, long version) {
        cursors.put(shard, new Cursor(bucket, bucket, version));
        scheduleNextStep(shard);
    }

    private static ObjectKey key(int shard) {
        return new ObjectKey(KIND, String.valueOf(shard));
    }
}
