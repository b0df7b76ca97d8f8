package org.sardinelift.core.fleet;

/** Action that a {@link HeartbeatMonitor} requires of its end of the connection. */
public sealed interface HeartbeatAction {

    /** No action is due. */
    record Wait() implements HeartbeatAction {}

    /**
     * Send a heartbeat.
     *
     * @param sequence its sequence number
     */
    record SendHeartbeat(long sequence) implements HeartbeatAction {}

    /**
     * Close the connection, which is silent.
     *
     * @param reason what was missing and for how long
     */
    record Close(String reason) implements HeartbeatAction {}
}
