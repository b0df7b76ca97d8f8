package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.StreamVersions;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;
import org.tinylog.Logger;

/**
 * Keeps in the store when the software versions of services with several versions were last
 * registered, so that an instance that starts knows of versions that have gone shortly before. Ages
 * are taken by the wall clocks of the instances. Runs on the control thread.
 */
public final class VersionRecordFeed {
    private static final ObjectKey KEY = new ObjectKey("sardinelift-software-versions", "main");
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
    private static final Duration RETENTION = StreamVersions.RESUME_WINDOW.multipliedBy(2);
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Consumer<Map<SoftwareVersion, Duration>> listener;
    private Map<SoftwareVersion, Long> lastRegisteredMs = Map.of();
    private long objectVersion = ObjectStore.ABSENT_VERSION;

    /** Whether a read or write is under way, so that another one has to wait. */
    private boolean isBusy = true;

    private VersionRecordFeed(
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Consumer<Map<SoftwareVersion, Duration>> listener) {
        this.store = store;
        this.control = control;
        this.storeAvailability = storeAvailability;
        this.listener = listener;
    }

    /**
     * Creates a feed.
     *
     * @param store the platform's store
     * @param control the control thread
     * @param storeAvailability records whether the store answers
     * @param listener receives the record each time that it is read or written, as the time since
     *     each version was last registered; on the control thread
     * @return the feed, not started
     */
    public static VersionRecordFeed of(
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Consumer<Map<SoftwareVersion, Duration>> listener) {
        return new VersionRecordFeed(store, control, storeAvailability, listener);
    }

    /**
     * Reads the record, as soon as the store answers.
     *
     * @param onTried runs after the first try, whether or not it succeeded
     */
    public void start(Runnable onTried) {
        control.execute(() -> read(onTried));
    }

    private void read(Runnable onTried) {
        store.read(KEY)
                .thenAcceptAsync(
                        result -> {
                            onRead(result);
                            onTried.run();
                        },
                        control::execute);
    }

    private void onRead(ReadResult result) {
        storeAvailability.onResult(result);
        isBusy = false;
        if (result instanceof ReadResult.Found found) {
            objectVersion = found.object().version();
            lastRegisteredMs = decode(found.object().value());
        } else if (result instanceof ReadResult.Absent) {
            objectVersion = ObjectStore.ABSENT_VERSION;
            lastRegisteredMs = Map.of();
        } else {
            isBusy = true;
            control.schedule(RETRY_INTERVAL, () -> read(() -> {}));
            return;
        }
        listener.accept(ages());
    }

    private Map<SoftwareVersion, Duration> ages() {
        long nowMs = System.currentTimeMillis();
        return lastRegisteredMs.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                last -> Duration.ofMillis(Math.max(0, nowMs - last.getValue()))));
    }

    /**
     * Writes the record, unless a read or write is under way. Safe for use by any thread.
     *
     * @param ages time since each version was last registered
     */
    public void write(Map<SoftwareVersion, Duration> ages) {
        control.execute(
                () -> {
                    if (!isBusy) {
                        isBusy = true;
                        writeMerged(ages);
                    }
                });
    }

    private void writeMerged(Map<SoftwareVersion, Duration> ages) {
        long nowMs = System.currentTimeMillis();
        Map<SoftwareVersion, Long> merged = new HashMap<>(lastRegisteredMs);
        ages.forEach((version, age) -> merged.merge(version, nowMs - age.toMillis(), Math::max));
        merged.values().removeIf(lastMs -> nowMs - lastMs >= RETENTION.toMillis());
        store.write(KEY, objectVersion, encode(merged))
                .thenAcceptAsync(result -> onWritten(result, merged), control::execute);
    }

    private void onWritten(WriteResult result, Map<SoftwareVersion, Long> written) {
        storeAvailability.onResult(result);
        if (result instanceof WriteResult.Written done) {
            isBusy = false;
            objectVersion = done.version();
            lastRegisteredMs = written;
            LogEvent.of("versions.recorded").with("versions", written.size()).info();
            listener.accept(ages());
        } else {
            // Another instance has written it, or this write may still be executed.
            read(() -> {});
        }
    }

    private static String encode(Map<SoftwareVersion, Long> lastMs) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode list = root.putArray("versions");
        lastMs.forEach(
                (version, last) ->
                        list.addObject()
                                .put("service", version.service())
                                .put("version", version.version())
                                .put("lastMs", last));
        return root.toString();
    }

    private static Map<SoftwareVersion, Long> decode(String value) {
        Map<SoftwareVersion, Long> lastMs = new HashMap<>();
        try {
            for (JsonNode each : MAPPER.readTree(value).path("versions")) {
                lastMs.put(
                        new SoftwareVersion(
                                each.path("service").asText(), each.path("version").asText()),
                        each.path("lastMs").asLong());
            }
        } catch (JsonProcessingException e) {
            Logger.warn("Ignoring an unreadable record of software versions: {}", e.getMessage());
        }
        return lastMs;
    }
}
