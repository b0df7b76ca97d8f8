package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.StreamSupport;
import org.sardinelift.core.poison.RefusedTrait;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;
import org.tinylog.Logger;

/**
 * Keeps the traits whose requests are refused in the store, one object each, so that they outlast a
 * stop of all instances. They are read once, when this instance starts; while it runs, it learns of
 * others by the reports of its peers. Runs on the control thread.
 */
public final class CrashCauseFeed {
    private static final String KIND = "sardinelift-crash-causes";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    /** Older evidence is deleted, as instances forget it after that time too. */
    private static final Duration RETENTION = Duration.ofHours(1);

    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Consumer<RefusedTrait> listener;
    private final Set<Long> refused = new HashSet<>();

    private CrashCauseFeed(
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Consumer<RefusedTrait> listener) {
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
     * @param listener is given each trait that the store holds at the start; on the control thread
     * @return the feed, not started
     */
    public static CrashCauseFeed of(
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Consumer<RefusedTrait> listener) {
        return new CrashCauseFeed(store, control, storeAvailability, listener);
    }

    /** Reads the traits, as soon as the store answers. */
    public void start() {
        control.execute(this::list);
    }

    private void list() {
        store.list(KIND, "").thenAcceptAsync(this::onList, control::execute);
    }

    private void onList(ListResult result) {
        storeAvailability.onResult(result);
        if (result instanceof ListResult.Listed listed) {
            listed.objects().forEach(object -> FeedGuard.run("crash causes", () -> read(object)));
        } else {
            control.schedule(RETRY_INTERVAL, this::list);
        }
    }

    private void read(StoredObject object) {
        decode(object)
                .ifPresent(
                        trait -> {
                            if (trait.evidenceAgeNanos() >= RETENTION.toNanos()) {
                                store.delete(object.key(), object.version());
                            } else {
                                refused.add(trait.trait());
                                listener.accept(trait);
                            }
                        });
    }

    /**
     * Stores a trait that is refused from now on. Safe for use by any thread.
     *
     * @param trait the trait
     */
    public void onRefused(RefusedTrait trait) {
        control.execute(
                () -> {
                    refused.add(trait.trait());
                    write(trait);
                });
    }

    private void write(RefusedTrait trait) {
        if (!refused.contains(trait.trait())) {
            return;
        }
        store.write(key(trait.trait()), ObjectStore.ABSENT_VERSION, encode(trait))
                .thenAcceptAsync(result -> onWritten(result, trait), control::execute);
    }

    private void onWritten(WriteResult result, RefusedTrait trait) {
        storeAvailability.onResult(result);
        // In a conflict another instance has stored it.
        if (result instanceof WriteResult.Written || result instanceof WriteResult.Conflict) {
            LogEvent.of("crash_cause.stored")
                    .with("trait", Long.toHexString(trait.trait()))
                    .with("deaths", trait.deaths().size())
                    .info();
        } else {
            control.schedule(RETRY_INTERVAL, () -> write(trait));
        }
    }

    /**
     * Removes a trait that is no longer refused. Safe for use by any thread.
     *
     * @param trait hash of the trait
     */
    public void onCleared(long trait) {
        control.execute(
                () -> {
                    refused.remove(trait);
                    delete(trait);
                });
    }

    private void delete(long trait) {
        if (!refused.contains(trait)) {
            store.read(key(trait))
                    .thenAcceptAsync(result -> onReadToDelete(result, trait), control::execute);
        }
    }

    private void onReadToDelete(ReadResult result, long trait) {
        storeAvailability.onResult(result);
        if (result instanceof ReadResult.Found found) {
            store.delete(found.object().key(), found.object().version());
        } else if (!(result instanceof ReadResult.Absent)) {
            control.schedule(RETRY_INTERVAL, () -> delete(trait));
        }
    }

    private static ObjectKey key(long trait) {
        return new ObjectKey(KIND, Long.toHexString(trait));
    }

    private static String encode(RefusedTrait trait) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(trait.evidenceAgeNanos());
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("part", trait.isPart())
                        .put("trials", trait.trials())
                        .put("evidenceMs", System.currentTimeMillis() - ageMs);
        trait.deaths().forEach(node.putArray("deaths")::add);
        return node.toString();
    }

    private static Optional<RefusedTrait> decode(StoredObject object) {
        try {
            JsonNode node = MAPPER.readTree(object.value());
            List<String> deaths =
                    StreamSupport.stream(node.path("deaths").spliterator(), false)
                            .map(JsonNode::asText)
                            .toList();
            long ageMs = System.currentTimeMillis() - node.path("evidenceMs").asLong();
            return Optional.of(
                    new RefusedTrait(
                            Long.parseUnsignedLong(object.key().name(), 16),
                            node.path("part").asBoolean(),
                            deaths,
                            node.path("trials").asInt(),
                            TimeUnit.MILLISECONDS.toNanos(Math.max(0, ageMs))));
        } catch (JsonProcessingException | NumberFormatException e) {
            Logger.warn(
                    "Ignoring the unreadable crash cause {}: {}",
                    object.key().name(),
                    e.getMessage());
            return Optional.empty();
        }
    }
}
