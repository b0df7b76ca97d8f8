package org.sardinelift.protocol;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinelift.protocol.generated.Frame;

/** Records the events of connections. */
final class Recorder implements FrameListener {
    final List<FrameConnection> opened = new CopyOnWriteArrayList<>();
    final List<Frame> frames = new CopyOnWriteArrayList<>();
    final List<String> closeReasons = new CopyOnWriteArrayList<>();
    final List<FrameConnection> closed = new CopyOnWriteArrayList<>();

    @Override
    public void onConnected(FrameConnection connection) {
        opened.add(connection);
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onDisconnected(FrameConnection connection, String reason) {
        closed.add(connection);
        closeReasons.add(reason);
    }
}
