package org.sardinelift.entry.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameLink;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;

/**
 * Maintains one connection to each other entry. Of two entries, the one with the smaller name opens
 * it; the other receives it through {@link #inboundListener()}, the listener of its server.
 */
public final class PeerMesh implements Peers, AutoCloseable {
    private static final String ROLE = "entry";

    private final EventLoopGroup group;
    private final @Nullable Supplier<SslContext> tls;
    private final Supplier<Hello> self;
    private final ConnectionTimings timings;
    private final Map<String, FrameConnection> connections = new ConcurrentHashMap<>();
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final List<FrameListener> listeners = new CopyOnWriteArrayList<>();

    private PeerMesh(
            EventLoopGroup group,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> self,
            ConnectionTimings timings) {
        this.group = group;
        this.tls = tls;
        this.self = self;
        this.timings = timings;
    }

    /**
     * Creates a mesh without connections.
     *
     * @param group event loops
     * @param tls supplies the certificates in force, or null for plaintext
     * @param self supplies this entry's hello for each new connection
     * @param timings heartbeat interval, silence timeout and reconnect backoff
     * @return the mesh
     */
    public static PeerMesh of(
            EventLoopGroup group,
            @Nullable Supplier<SslContext> tls,
            Supplier<Hello> self,
            ConnectionTimings timings) {
        return new PeerMesh(group, tls, self, timings);
    }

    /**
     * Opens links to new entries and closes those to entries that are gone or have a new address.
     *
     * @param view the members
     */
    public synchronized void update(FleetView view) {
        String name = self.get().getInstance();
        Map<String, InstanceInfo> wanted =
                view.entries().stream()
                        .filter(entry -> name.compareTo(entry.name()) < 0)
                        .collect(Collectors.toMap(InstanceInfo::name, entry -> entry));
        links.entrySet()
                .removeIf(link -> link.getValue().closeIfChanged(wanted.get(link.getKey())));
        wanted.values().forEach(entry -> links.computeIfAbsent(entry.name(), it -> open(entry)));
    }

    /**
     * Returns the listener for connections that other entries open.
     *
     * @return a listener that ignores connections of other roles
     */
    public FrameListener inboundListener() {
        return new ConnectionRegistry();
    }

    @Override
    public void broadcast(Frame frame) {
        connections.values().forEach(connection -> connection.send(frame));
    }

    @Override
    public boolean send(String instance, Frame frame) {
        FrameConnection connection = connections.get(instance);
        return connection != null && connection.send(frame);
    }

    @Override
    public List<String> connected() {
        return List.copyOf(connections.keySet());
    }

    @Override
    public void addListener(FrameListener listener) {
        listeners.add(listener);
    }

    /** Closes every link. */
    @Override
    public synchronized void close() {
        links.values().forEach(link -> link.frameLink().close());
        links.clear();
    }

    private Link open(InstanceInfo entry) {
        return new Link(
                entry.host(),
                entry.port(),
                FrameLink.open(
                        group,
                        entry.host(),
                        entry.port(),
                        tls,
                        self,
                        timings,
                        new ConnectionRegistry()));
    }

    private record Link(String host, int port, FrameLink frameLink) {
        boolean closeIfChanged(@Nullable InstanceInfo wanted) {
            boolean isSame = wanted != null && wanted.port() == port && wanted.host().equals(host);
            if (!isSame) {
                frameLink.close();
            }
            return !isSame;
        }
    }

    /** Registers the newest connection of each peer and forwards its events to the listeners. */
    private final class ConnectionRegistry implements FrameListener {
        @Override
        public void onConnected(FrameConnection connection) {
            if (isEntry(connection)) {
                connections.put(connection.peer().getInstance(), connection);
                notifyListeners(listener -> listener.onConnected(connection));
            }
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            if (isEntry(connection)) {
                notifyListeners(listener -> listener.onFrame(connection, frame));
            }
        }

        @Override
        public void onDisconnected(FrameConnection connection, String reason) {
            if (isEntry(connection)
                    && connections.remove(connection.peer().getInstance(), connection)) {
                notifyListeners(listener -> listener.onDisconnected(connection, reason));
            }
        }

        private boolean isEntry(FrameConnection connection) {
            return ROLE.equals(connection.peer().getRole());
        }

        private void notifyListeners(Consumer<FrameListener> event) {
            listeners.forEach(event);
        }
    }
}
