package org.sardinelift.core.fleet;

import java.time.Duration;

/**
 * Detects at one end of a connection that it is silent. The end that opened the connection sends
 * heartbeats and the other end answers them: an answer proves both directions to the opener, a
 * heartbeat proves its own direction to the acceptor. If only the opener can detect that a
 * direction is broken, the acceptor sees the opener close the connection, or silence. Times are
 * nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class HeartbeatMonitor {
    private final boolean isOpener;
    private final long heartbeatIntervalNanos;
    private final long silenceTimeoutNanos;
    private long lastBytesAtNanos;
    private long nextHeartbeatAtNanos;
    private long unansweredSinceNanos;
    private long sentSequence;
    private boolean hasUnansweredHeartbeat;

    private HeartbeatMonitor(
            boolean isOpener, Duration heartbeatInterval, Duration silenceTimeout, long nowNanos) {
        this.isOpener = isOpener;
        heartbeatIntervalNanos = heartbeatInterval.toNanos();
        silenceTimeoutNanos = silenceTimeout.toNanos();
        lastBytesAtNanos = nowNanos;
        nextHeartbeatAtNanos = nowNanos + heartbeatIntervalNanos;
    }

    /**
     * Creates the monitor of the end that opened the connection.
     *
     * @param heartbeatInterval time between two heartbeats
     * @param silenceTimeout time without a byte, or without an answer to a heartbeat, after which
     *     the connection is silent
     * @param nowNanos time at which the connection was opened
     * @return the monitor
     */
    public static HeartbeatMonitor ofOpener(
            Duration heartbeatInterval, Duration silenceTimeout, long nowNanos) {
        return new HeartbeatMonitor(true, heartbeatInterval, silenceTimeout, nowNanos);
    }

    /**
     * Creates the monitor of the end that accepted the connection.
     *
     * @param silenceTimeout time without a byte after which the connection is silent
     * @param nowNanos time at which the connection was accepted
     * @return the monitor
     */
    public static HeartbeatMonitor ofAcceptor(Duration silenceTimeout, long nowNanos) {
        return new HeartbeatMonitor(false, silenceTimeout, silenceTimeout, nowNanos);
    }

    /**
     * Bytes were received.
     *
     * @param nowNanos time now
     * @return false if they came after the silence timeout, so that they may be out of date
     */
    public boolean onBytesReceived(long nowNanos) {
        if (nowNanos - lastBytesAtNanos > silenceTimeoutNanos) {
            return false;
        }
        lastBytesAtNanos = nowNanos;
        return true;
    }

    /**
     * A heartbeat was handed to the network.
     *
     * @param nowNanos time now
     */
    public void onHeartbeatWritten(long nowNanos) {
        if (!hasUnansweredHeartbeat) {
            hasUnansweredHeartbeat = true;
            unansweredSinceNanos = nowNanos;
        }
    }

    /**
     * A heartbeat was answered.
     *
     * @param sequence its sequence number
     * @param nowNanos time now
     */
    public void onHeartbeatAnswered(long sequence, long nowNanos) {
        hasUnansweredHeartbeat = sequence < sentSequence;
        unansweredSinceNanos = nowNanos;
    }

    /**
     * Determines the action that is due.
     *
     * @param nowNanos time now
     * @return the action
     */
    public HeartbeatAction check(long nowNanos) {
        if (nowNanos - lastBytesAtNanos > silenceTimeoutNanos) {
            return new HeartbeatAction.Close(
                    "no byte came for " + millis(nowNanos - lastBytesAtNanos));
        }
        if (hasUnansweredHeartbeat && nowNanos - unansweredSinceNanos > silenceTimeoutNanos) {
            return new HeartbeatAction.Close(
                    "no heartbeat was answered for " + millis(nowNanos - unansweredSinceNanos));
        }
        if (isOpener && nowNanos - nextHeartbeatAtNanos >= 0) {
            nextHeartbeatAtNanos = nowNanos + heartbeatIntervalNanos;
            return new HeartbeatAction.SendHeartbeat(++sentSequence);
        }
        return new HeartbeatAction.Wait();
    }

    /**
     * Returns when {@link #check} is due again if nothing is received until then.
     *
     * @param nowNanos time now
     * @return time from now, in nanoseconds, at least 1
     */
    public long nextCheckInNanos(long nowNanos) {
        long dueInNanos = lastBytesAtNanos + silenceTimeoutNanos + 1 - nowNanos;
        if (hasUnansweredHeartbeat) {
            dueInNanos =
                    Math.min(dueInNanos, unansweredSinceNanos + silenceTimeoutNanos + 1 - nowNanos);
        }
        if (isOpener) {
            dueInNanos = Math.min(dueInNanos, nextHeartbeatAtNanos - nowNanos);
        }
        return Math.max(1, dueInNanos);
    }

    private static String millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis() + " ms";
    }
}
