package org.sardinelift.entry.peer;

import java.util.List;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Frame;

/** The other entries of the fleet that this entry is connected to. */
public interface Peers {

    /**
     * Sends a frame to every connected peer.
     *
     * @param frame the frame
     */
    void broadcast(Frame frame);

    /**
     * Sends a frame to one peer.
     *
     * @param instance name of the peer
     * @param frame the frame
     * @return false if no connection is open and the frame was certainly not sent
     */
    boolean send(String instance, Frame frame);

    /**
     * Returns the peers with an open connection.
     *
     * @return their instance names
     */
    List<String> connected();

    /**
     * Adds a listener of connections and frames. Each listener ignores kinds of frames that it
     * doesn't know.
     *
     * @param listener the listener
     */
    void addListener(FrameListener listener);
}
