package org.sardinelift.gateway.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.Endpoint;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.log.LogEvent;
import org.tinylog.Logger;

/**
 * Registers this instance's address in the store, once and under its name, and lists those of the
 * other instances. Peer reports, not this list, show which ones are live. Runs on the control
 * thread.
 */
public final class InstanceFeed {
    private static final String KIND = "sardinelift-instances";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    /** Instances learn of a new one by its reports; the list serves those that it can't reach. */
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);

    private final String instance;
    private final PeerRole role;
    private final Endpoint address;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability storeAvailability;
    private final Listener listener;

    /** Is notified of the other instances, on the control thread. */
    public interface Listener {
        /**
         * Another instance was found in the list.
         *
         * @param name its name
         * @param role its role
         * @param address address at which it receives reports
         */
        void onInstanceRegistered(String name, PeerRole role, Endpoint address);

        /** All instances in the list were passed on. */
        default void onListed() {}
    }

    private InstanceFeed(
            String instance,
            PeerRole role,
            Endpoint address,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Listener listener) {
        this.instance = instance;
        this.role = role;
        this.address = address;
        this.store = store;
        this.control = control;
        this.storeAvailability = storeAvailability;
        this.listener = listener;
    }

    /**
     * Creates a feed.
     *
     * @param instance name of this instance
     * @param role role of this instance
     * @param address address at which it receives reports
     * @param store the platform's store
     * @param control the control thread
     * @param storeAvailability records whether the store answers
     * @param listener is notified of the other instances
     * @return the feed, not started
     */
    public static InstanceFeed of(
            String instance,
            PeerRole role,
            Endpoint address,
            ObjectStore store,
            ControlThread control,
            StoreAvailability storeAvailability,
            Listener listener) {
        return new InstanceFeed(
                instance, role, address, store, control, storeAvailability, listener);
    }

    /** Registers this instance and starts to list the others. */
    public void start() {
        control.execute(this::list);
    }

    private void list() {
        store.list(KIND, "").thenAcceptAsync(this::onList, control::execute);
    }

    private void onList(ListResult result) {
        storeAvailability.onResult(result);
        if (!(result instanceof ListResult.Listed listed)) {
            control.schedule(RETRY_INTERVAL, this::list);
            return;
        }
        listed.objects().forEach(this::readRegistration);
        FeedGuard.run("instances", listener::onListed);
        Optional<StoredObject> ownObject =
                listed.objects().stream()
                        .filter(object -> object.key().name().equals(instance))
                        .findFirst();
        if (ownObject.map(StoredObject::value).filter(registrationJson()::equals).isPresent()) {
            control.schedule(LIST_INTERVAL, this::list);
        } else {
            register(ownObject.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION));
        }
    }

    private void register(long version) {
        store.write(new ObjectKey(KIND, instance), version, registrationJson())
                .thenAcceptAsync(this::onWriteResult, control::execute);
    }

    private void onWriteResult(WriteResult result) {
        storeAvailability.onResult(result);
        boolean isRegistered = result instanceof WriteResult.Written;
        if (isRegistered) {
            LogEvent.of("instance.registered").with("address", address.toString()).info();
        }
        if (isRegistered) {
            // Of instances that register at the same time, each lists those that did so before it.
            list();
        } else {
            control.schedule(RETRY_INTERVAL, this::list);
        }
    }

    private String registrationJson() {
        return MAPPER.createObjectNode()
                .put("role", role.label())
                .put("host", address.host())
                .put("port", address.port())
                .toString();
    }

    private void readRegistration(StoredObject object) {
        String name = object.key().name();
        if (name.equals(instance)) {
            return;
        }
        try {
            JsonNode node = MAPPER.readTree(object.value());
            PeerRole peerRole =
                    PeerRole.fromLabel(node.path("role").asText())
                            .orElseThrow(() -> new IllegalArgumentException("unknown role"));
            String host = Objects.requireNonNull(node.path("host").textValue(), "host is missing");
            int port = node.path("port").asInt();
            if (!Endpoint.isConnectable(port)) {
                throw new IllegalArgumentException("port " + port);
            }
            listener.onInstanceRegistered(name, peerRole, new Endpoint(host, port));
        } catch (JsonProcessingException | RuntimeException e) {
            Logger.warn(
                    "Ignoring the unreadable registration of instance {}: {}",
                    name,
                    e.getMessage());
        }
    }
}
