package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sardinelift.core.resume.RecordedVersions;
import org.sardinelift.core.resume.RecordedVersions.Action;
import org.sardinelift.core.resume.RecordedVersions.Known;
import org.sardinelift.core.resume.VersionRecord;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Reads and writes the record of software versions without times, as {@link RecordedVersions}
 * decides. Runs on the executor of these decisions.
 */
public final class VersionStateFeed {
    private static final ObjectKey KEY = new ObjectKey("sardinelift-software-versions", "recorded");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** An object that can't be parsed stays so until an operator or a later release mends it. */
    private static final Duration UNREADABLE_RETRY_INTERVAL = Duration.ofSeconds(5);

    private final ObjectStore store;
    private final Executor executor;
    private final StoreAvailability storeAvailability;
    private final RecordedVersions recorded;
    private final Supplier<Optional<Action>> dueAction;
    private long unreadableVersion = ObjectStore.ABSENT_VERSION;
    private long pausedUntil = System.nanoTime();

    private VersionStateFeed(
            ObjectStore store,
            Executor executor,
            StoreAvailability storeAvailability,
            RecordedVersions recorded,
            Supplier<Optional<Action>> dueAction) {
        this.store = store;
        this.executor = executor;
        this.storeAvailability = storeAvailability;
        this.recorded = recorded;
        this.dueAction = dueAction;
    }

    /**
     * Creates a feed.
     *
     * @param store the platform's store
     * @param executor runs the decisions
     * @param storeAvailability records whether the store answers
     * @param recorded receives the record
     * @param dueAction what to do now
     * @return the feed
     */
    public static VersionStateFeed of(
            ObjectStore store,
            Executor executor,
            StoreAvailability storeAvailability,
            RecordedVersions recorded,
            Supplier<Optional<Action>> dueAction) {
        return new VersionStateFeed(store, executor, storeAvailability, recorded, dueAction);
    }

    /** Reads or writes the record if that is due. To be called often, on the executor. */
    public void check() {
        if (System.nanoTime() - pausedUntil >= 0) {
            dueAction.get().ifPresent(this::perform);
        }
    }

    private void perform(Action action) {
        long askedAt = System.nanoTime();
        if (action instanceof Action.Write write) {
            store.write(KEY, write.expectedVersion(), encode(write.record()))
                    .exceptionally(error -> new WriteResult.Unclear(String.valueOf(error)))
                    .thenAcceptAsync(
                            result -> onWritten(result, write.record(), askedAt), executor);
        } else {
            store.read(KEY)
                    .exceptionally(error -> new ReadResult.Unavailable(String.valueOf(error)))
                    .thenAcceptAsync(result -> onRead(result, askedAt), executor);
        }
    }

    private void onRead(ReadResult result, long askedAt) {
        storeAvailability.onResult(result);
        VersionRecordMetrics.count(result);
        boolean isDone = false;
        if (result instanceof ReadResult.Found found) {
            Optional<VersionRecord> record = decode(found.object());
            record.ifPresent(each -> apply(each, found.object().version(), askedAt));
            isDone = record.isPresent();
        } else if (result instanceof ReadResult.Absent) {
            apply(VersionRecord.EMPTY, ObjectStore.ABSENT_VERSION, askedAt);
            isDone = true;
        }
        boolean isAnswered = !(result instanceof ReadResult.Unavailable);
        recorded.onActionEnded(isAnswered, isDone, System.nanoTime());
        check();
    }

    private void apply(VersionRecord record, long version, long askedAt) {
        recorded.onRecord(new Known(record, version, askedAt), System.nanoTime());
    }

    private void onWritten(WriteResult result, VersionRecord record, long askedAt) {
        storeAvailability.onResult(result);
        VersionRecordMetrics.count(result);
        boolean isDone = result instanceof WriteResult.Written;
        if (result instanceof WriteResult.Written written) {
            apply(record, written.version(), askedAt);
        }
        LogEvent.of("versions.state_written")
                .with("versions", describe(record))
                .with("result", VersionRecordMetrics.name(result))
                .info();
        recorded.onActionEnded(true, isDone, System.nanoTime());
        check();
    }

    private static String describe(VersionRecord record) {
        return record.states().entrySet().stream()
                .map(
                        entry ->
                                entry.getKey().service()
                                        + "/"
                                        + entry.getKey().version()
                                        + "="
                                        + entry.getValue().label())
                .sorted()
                .collect(Collectors.joining(" "));
    }

    private static String encode(VersionRecord record) {
        ObjectNode root = MAPPER.createObjectNode();
        VersionRecordJson.write(record, root.putArray("versions"));
        return root.toString();
    }

    private Optional<VersionRecord> decode(StoredObject object) {
        Optional<VersionRecord> record;
        try {
            record = VersionRecordJson.read(MAPPER.readTree(object.value()).path("versions"));
        } catch (JsonProcessingException e) {
            record = Optional.empty();
        }
        if (record.isEmpty()) {
            VersionRecordMetrics.countUnreadable();
            pausedUntil = System.nanoTime() + UNREADABLE_RETRY_INTERVAL.toNanos();
            if (unreadableVersion != object.version()) {
                unreadableVersion = object.version();
                LogEvent.of("versions.unreadable").with("version", object.version()).warn();
            }
        }
        return record;
    }
}
