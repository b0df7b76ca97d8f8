package org.sardinelift.protocol;

import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Hello;

/** An open connection to another process, after the exchange of {@link Hello}. */
public interface FrameConnection {
    /** Protocol version of this build; both ends of a connection must have the same. */
    int PROTOCOL_VERSION = 1;

    /**
     * Sends a frame; the order of frames is kept.
     *
     * @param frame the frame
     * @return false if the connection is closed and the frame was certainly not sent
     */
    boolean send(Frame frame);

    /**
     * Hello of the peer, with its identity.
     *
     * @return the peer's hello
     */
    Hello peer();

    /**
     * Closes the connection.
     *
     * @param reason reason for the log
     */
    void close(String reason);
}
