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
 * Removes jobs whose retention has passed. Each shard of the expiries is swept by the entry that it
 * falls to; it lists one stretch of time after another, and only those that have passed.
 */
final class JobSweeper {
    /** Kind of the objects that hold how far a shard is swept. */
    static final String KIND = "job-sweep";

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final long CLOCK_MARGIN_MS = Expiry.BUCKET_MS;
    private static final int BUCKETS_PER_WRITE = 10;

    private final JobStore store;
    private final BatchSettings settings;
    private final String self;
    private final Supplier<Collection<String>> eligible;
    private final Map<Integer, Cursor> cursors = new HashMap<>();
    private int turn;
    private boolean busy;

    JobSweeper(
            JobStore store,
            BatchSettings settings,
            String self,
            Supplier<Collection<String>> eligible) {
        this.store = store;
        this.settings = settings;
        this.self = self;
        this.eligible = eligible;
    }

    /**
     * How far a shard is swept.
     *
     * @param bucket the first stretch of time that is not known to be empty
     * @param storedBucket the stretch that the platform holds
     * @param version version of the object there
     */
    private record Cursor(long bucket, long storedBucket, long version) {
        Cursor next() {
            return new Cursor(bucket + 1, storedBucket, version);
        }
    }

    void start() {
        store.control().repeat(PERIOD, this::sweep);
    }

    private void sweep() {
        Collection<String> entries = eligible.get();
        cursors.keySet().removeIf(shard -> !isAssignedHere(shard, entries));
        turn = (turn + 1) % Expiry.SHARDS;
        if (!busy && isAssignedHere(turn, entries)) {
            busy = true;
            sweepShard(turn);
        }
    }

    private boolean isAssignedHere(int shard, Collection<String> entries) {
        return EntryRendezvous.choose("sweep-" + shard, entries).filter(self::equals).isPresent();
    }

    private void sweepShard(int shard) {
        Cursor cursor = cursors.get(shard);
        if (cursor == null) {
            loadCursor(shard);
        } else if ((cursor.bucket() + 1) * Expiry.BUCKET_MS + CLOCK_MARGIN_MS
                > store.control().epochMillis()) {
            busy = false;
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
                            if (isAssignedHere(shard, eligible.get())) {
                                sweepShard(shard);
                            } else {
                                busy = false;
                            }
                        });
    }

    private void onDue(int shard, Cursor cursor, ListResult result) {
        if (!(result instanceof ListResult.Listed listed)) {
            busy = false;
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
                        handled -> {
                            if (handled) {
                                removeJobs(shard, due.subList(1, due.size()));
                            } else {
                                busy = false;
                            }
                        })
                .start();
    }

    private void advance(int shard, Cursor cursor) {
        cursors.put(shard, cursor);
        if (cursor.bucket() - cursor.storedBucket() < BUCKETS_PER_WRITE) {
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
                        busy = false;
                    }
                });
    }

    /** Finds the earliest expiry of a shard that was never swept. */
    private void initCursor(int shard) {
        store.list(
                Expiry.KIND,
                Expiry.namePrefix(shard),
                result -> {
                    if (result instanceof ListResult.Listed listed) {
                        long now = store.control().epochMillis();
                        long first =
                                listed.objects().stream()
                                        .mapToLong(object -> Expiry.of(object).dueMs())
                                        .min()
                                        .orElse(now);
                        Logger.info(
                                "Shard {} of the ended jobs is swept for the first time", shard);
                        setCursor(
                                shard,
                                Math.min(first, now) / Expiry.BUCKET_MS,
                                ObjectStore.ABSENT_VERSION);
                    } else {
                        busy = false;
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
