package org.sardinelift.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.ExplainResult;
import org.sardinelift.protocol.generated.Frame;

/** The control connections to companions, used to query their decisions. */
final class CompanionConnections {
    private final Map<String, FrameConnection> connections = new ConcurrentHashMap<>();
    private volatile BiConsumer<String, ExplainResult> onResult = (companion, result) -> {};

    /** Sets the listener of the companions' results, called on event-loop threads. */
    void setResultListener(BiConsumer<String, ExplainResult> listener) {
        onResult = listener;
    }

    /** Sends a frame; false if no connection to the companion is open. */
    boolean send(String companion, Frame frame) {
        FrameConnection connection = connections.get(companion);
        return connection != null && connection.send(frame);
    }

    Set<String> connected() {
        return Set.copyOf(connections.keySet());
    }

    /** Wraps a connection's listener: explain results go to the result listener instead. */
    FrameListener interceptResults(String companion, FrameListener next) {
        return new FrameListener() {
            @Override
            public void onConnected(FrameConnection connection) {
                connections.put(companion, connection);
                next.onConnected(connection);
            }

            @Override
            public void onFrame(FrameConnection connection, Frame frame) {
                if (frame.isSetExplainResult()) {
                    onResult.accept(companion, frame.getExplainResult());
                } else {
                    next.onFrame(connection, frame);
                }
            }

            @Override
            public void onDisconnected(FrameConnection connection, String reason) {
                connections.remove(companion, connection);
                next.onDisconnected(connection, reason);
            }
        };
    }
}
