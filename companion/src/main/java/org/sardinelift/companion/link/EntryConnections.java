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
 * Connections from entries, one for each lane. A new connection of the same entry and lane takes
 * the place of the old one, which is closed. State is owned by the control thread.
 */
public final class EntryConnections implements FrameListener {
    private final ControlThread control;
    private final BiConsumer<FrameConnection, Frame> onFrame;
    private final Consumer<FrameConnection> onLost;
    private final Runnable onControlUp;
    private final Map<Key, FrameConnection> open = new HashMap<>();

    private record Key(String instance, Lane lane) {}

    /**
     * Makes the set of connections, empty.
     *
     * @param control owner of the state
     * @param onFrame takes each frame, on the control thread
     * @param onLost hears of each connection that is lost, on the control thread
     * @param onControlUp runs when an entry's control connection is up, on the control thread
     */
    public EntryConnections(
            ControlThread control,
            BiConsumer<FrameConnection, Frame> onFrame,
            Consumer<FrameConnection> onLost,
            Runnable onControlUp) {
        this.control = control;
        this.onFrame = onFrame;
        this.onLost = onLost;
        this.onControlUp = onControlUp;
    }

    @Override
    public void onUp(FrameConnection connection) {
        control.execute(() -> up(connection));
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        control.execute(() -> frame(connection, frame));
    }

    @Override
    public void onDown(FrameConnection connection, String reason) {
        control.execute(
                () -> {
                    open.remove(key(connection), connection);
                    onLost.accept(connection);
                });
    }

    /**
     * Sends a frame to every entry on its control connection.
     *
     * @param frame the frame
     */
    public void broadcast(Frame frame) {
        open.forEach(
                (key, connection) -> {
                    if (key.lane() == Lane.CONTROL) {
                        connection.send(frame);
                    }
                });
    }

    /**
     * A connection that was replaced counts for nothing: its entry asks what became of its calls.
     */
    private void frame(FrameConnection connection, Frame frame) {
        if (open.get(key(connection)) == connection) {
            onFrame.accept(connection, frame);
        }
    }

    private void up(FrameConnection connection) {
        FrameConnection previous = open.put(key(connection), connection);
        if (previous != null) {
            previous.close("the entry opened another connection for this lane");
        }
        if (connection.peer().getLane() == Lane.CONTROL) {
            onControlUp.run();
        }
    }

    private static Key key(FrameConnection connection) {
        Hello peer = connection.peer();
        return new Key(peer.getInstance(), peer.getLane());
    }
}
