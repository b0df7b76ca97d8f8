package org.sardinelift.protocol;

import org.sardinelift.protocol.generated.Frame;

/**
 * Receives the events of connections. Calls for one connection are made in order, on its event
 * loop.
 */
public interface FrameListener {

    /**
     * Called when a connection is open and both ends have sent their hello.
     *
     * @param connection the connection
     */
    void onConnected(FrameConnection connection);

    /**
     * Called when a frame has arrived, except hellos and heartbeats.
     *
     * @param connection the connection
     * @param frame the frame
     */
    void onFrame(FrameConnection connection, Frame frame);

    /**
     * Called when a connection is closed, also after a silence timeout. No more frames follow.
     *
     * @param connection the connection
     * @param reason why it was closed
     */
    void onDisconnected(FrameConnection connection, String reason);
}
