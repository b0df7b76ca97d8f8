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
import org.sardinelift.runtime.log.Event;
import org.tinylog.Logger;

/**
 * Where the other instances are: each writes its address to the store once, under its name, and
 * reads those of the others. Who is live is told by reports, not here. Works on the control thread.
 */
public final class InstanceFeed {
    private static final String KIND = "sardinelift-instances";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Duration RETRY = Duration.ofMillis(500);

    /** Instances learn of a new one by its reports; the list is for those that it can't reach. */
    private static final Duration INTERVAL = Duration.ofSeconds(30);

    private final String instance;
    private final PeerRole role;
    private final Endpoint address;
    private final ObjectStore store;
    private final ControlThread control;
    private final StoreAvailability contact;
    private final Listener listener;

    /** Takes the addresses of other instances, on the control thread. */
    public interface Listener {
        /**
         * An instance is registered.
         *
         * @param name its name
         * @param role what it does
         * @param address where it takes reports
         */
        void onInstanceRegistered(String name, PeerRole role, Endpoint address);
    }

    private InstanceFeed(
            String instance,
            PeerRole role,
            Endpoint address,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            Listener listener) {
        this.instance = instance;
        this.role = role;
        this.address = address;
        this.store = store;
        this.control = control;
        this.contact = contact;
        this.listener = listener;
    }

    /**
     * Makes a feed.
     *
     * @param instance name of this instance
     * @param role what it does
     * @param address where it takes reports
     * @param store the platform's store
     * @param control the control thread
     * @param contact notes whether the store answers
     * @param listener takes the others
     * @return the feed, not started
     */
    public static InstanceFeed of(
            String instance,
            PeerRole role,
            Endpoint address,
            ObjectStore store,
            ControlThread control,
            StoreAvailability contact,
            Listener listener) {
        return new InstanceFeed(instance, role, address, store, control, contact, listener);
    }

    /** Registers this instance and starts to read the others. */
    public void start() {
        control.execute(this::list);
    }

    private void list() {
        store.list(KIND, "").thenAcceptAsync(this::onList, control::execute);
    }

    private void onList(ListResult result) {
        contact.onResult(result);
        if (!(result instanceof ListResult.Listed listed)) {
            control.schedule(RETRY, this::list);
            return;
        }
        listed.objects().forEach(this::onObject);
        Optional<StoredObject> own =
                listed.objects().stream()
                        .filter(object -> object.key().name().equals(instance))
                        .findFirst();
        if (own.map(StoredObject::value).filter(value()::equals).isPresent()) {
            control.schedule(INTERVAL, this::list);
        } else {
            register(own.map(StoredObject::version).orElse(ObjectStore.ABSENT));
        }
    }

    private void register(long version) {
        store.write(new ObjectKey(KIND, instance), version, value())
                .thenAcceptAsync(this::onRegistered, control::execute);
    }

    private void onRegistered(WriteResult result) {
        contact.onResult(result);
        boolean done = result instanceof WriteResult.Written;
        if (done) {
            Event.of("instance.registered").with("address", address.toString()).info();
        }
        if (done) {
            // Of instances that register at the same time, each sees those that did so before it.
            list();
        } else {
            control.schedule(RETRY, this::list);
        }
    }

    private String value() {
        return MAPPER.createObjectNode()
                .put("role", role.label())
                .put("host", address.host())
                .put("port", address.port())
                .toString();
    }

    private void onObject(StoredObject object) {
        String name = object.key().name();
        if (name.equals(instance)) {
            return;
        }
        try {
            JsonNode node = MAPPER.readTree(object.value());
            PeerRole peerRole =
                    PeerRole.fromLabel(node.path("role").asText())
                            .orElseThrow(() -> new IllegalArgumentException("an unknown role"));
            String host = Objects.requireNonNull(node.path("host").textValue(), "no host");
            listener.onInstanceRegistered(
                    name, peerRole, new Endpoint(host, node.path("port").asInt()));
        } catch (JsonProcessingException | RuntimeException e) {
            Logger.warn("The registration of instance {} can't be read: {}", name, e.getMessage());
        }
    }
}
