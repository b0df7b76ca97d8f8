package org.sardinelift.companion.link;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.runtime.ControlThread;

/**
 * Connections from entries, one per entry and lane. A new connection for the same entry and lane
 * replaces the old one, which is closed. State is owned by the control thread.
 */
public final class EntryConnections implements FrameListener {
    private final ControlThread control;
    private final BiConsumer<FrameConnection, Frame> onFrame;
    private final Consumer<FrameConnection> onLost;
    private final Runnable onControlConnected;
    private final Map<Key, FrameConnection> connections = new HashMap<>();

    private record Key(String instance, Lane lane) {}

    /**
     * Creates an empty set of connections.
     *
     * @param control thread that owns the state
     * @param onFrame receives each frame, on the control thread
     * @param onLost receives each lost connection, on the control thread
     * @param onControlConnected runs on the control thread when an entry's control connection opens
     */
    public EntryConnections(
            ControlThread control,
            BiConsumer<FrameConnection, Frame> onFrame,
            Consumer<FrameConnection> onLost,
            Runnable onControlConnected) {
        this.control = control;
        this.onFrame = onFrame;
        this.onLost = onLost;
        this.onControlConnected = onControlConnected;
    }

    @Override
    public void onConnected(FrameConnection connection) {
        control.execute(() -> register(connection));
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        control.execute(() -> receive(connection, frame));
    }

    @Override
    public void onDisconnected(FrameConnection connection, String reason) {
        control.execute(
                () -> {
                    connections.remove(key(connection), connection);
                    onLost.accept(connection);
                });
    }

    /**
     * Sends a frame to every entry over its control connection.
     *
     * @param frame the frame
     */
    public void broadcast(Frame frame) {
        connections.forEach(
                (key, connection) -> {
                    if (key.lane() == Lane.CONTROL) {
                        connection.send(frame);
                    }
                });
    }

    /** Drops frames of a replaced connection: its entry queries the state of its calls. */
    private void receive(FrameConnection connection, Frame frame) {
        if (connections.get(key(connection)) == connection) {
            onFrame.accept(connection, frame);
        }
    }

    private void register(FrameConnection connection) {
        FrameConnection previous = connections.put(key(connection), connection);
        if (previous != null) {
            previous.close("the entry opened another connection for this lane");
        }
        if (connection.peer().getLane() == Lane.CONTROL) {
            onControlConnected.run();
        }
    }

    private static Key key(FrameConnection connection) {
        Hello peer = connection.peer();
        return new Key(peer.getInstance(), peer.getLane());
    }
}
