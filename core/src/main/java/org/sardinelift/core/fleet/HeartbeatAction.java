package org.sardinelift.core.fleet;

/** What one end of a connection does next to know that the path is alive. */
public sealed interface HeartbeatAction {

    /** Nothing is due. */
    record Wait() implements HeartbeatAction {}

    /**
     * Send a heartbeat.
     *
     * @param sequence its sequence number
     */
    record SendHeartbeat(long sequence) implements HeartbeatAction {}

    /**
     * The path is silent: close the connection.
     *
     * @param reason what was missed and for how long
     */
    record Close(String reason) implements HeartbeatAction {}
}
