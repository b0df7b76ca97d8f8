package org.sardinelift.core.fleet;

import java.time.Duration;

/**
 * One end's watch over a connection. The end that opened the connection sends heartbeats and the
 * other end answers them: the answer proves both directions to the opener, the heartbeat proves its
 * own direction to the acceptor. A direction that only the opener can see to be broken reaches the
 * acceptor as the opener's close, or as silence. Times are nanoseconds of a monotonic clock. Not
 * safe for use by several threads.
 */
public final class HeartbeatMonitor {
    private final boolean opener;
    private final long heartbeatNanos;
    private final long silenceNanos;
    private long lastBytesNanos;
    private long nextHeartbeatNanos;
    private long unansweredSinceNanos;
    private long sentSequence;
    private boolean unanswered;

    private HeartbeatMonitor(boolean opener, Duration heartbeat, Duration silence, long nowNanos) {
        this.opener = opener;
        heartbeatNanos = heartbeat.toNanos();
        silenceNanos = silence.toNanos();
        lastBytesNanos = nowNanos;
        nextHeartbeatNanos = nowNanos + heartbeatNanos;
    }

    /**
     * Starts the watch of the end that opened the connection.
     *
     * @param heartbeat time between two heartbeats
     * @param silence time without a byte, or without an answer, after which the path is silent
     * @param nowNanos time at which the connection was opened
     * @return the watch
     */
    public static HeartbeatMonitor ofOpener(Duration heartbeat, Duration silence, long nowNanos) {
        return new HeartbeatMonitor(true, heartbeat, silence, nowNanos);
    }

    /**
     * Starts the watch of the end that accepted the connection.
     *
     * @param silence time without a byte after which the path is silent
     * @param nowNanos time at which the connection was accepted
     * @return the watch
     */
    public static HeartbeatMonitor ofAcceptor(Duration silence, long nowNanos) {
        return new HeartbeatMonitor(false, silence, silence, nowNanos);
    }

    /**
     * Bytes have come.
     *
     * @param nowNanos time now
     * @return false where they came after a silence, so that they may be long out of date
     */
    public boolean onBytesReceived(long nowNanos) {
        if (nowNanos - lastBytesNanos > silenceNanos) {
            return false;
        }
        lastBytesNanos = nowNanos;
        return true;
    }

    /**
     * A heartbeat was handed to the network.
     *
     * @param nowNanos time now
     */
    public void onHeartbeatWritten(long nowNanos) {
        if (!unanswered) {
            unanswered = true;
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
        unanswered = sequence < sentSequence;
        unansweredSinceNanos = nowNanos;
    }

    /**
     * Decides what is due.
     *
     * @param nowNanos time now
     * @return what to do
     */
    public HeartbeatAction check(long nowNanos) {
        if (nowNanos - lastBytesNanos > silenceNanos) {
            return new HeartbeatAction.Close(
                    "no byte came for " + millis(nowNanos - lastBytesNanos));
        }
        if (unanswered && nowNanos - unansweredSinceNanos > silenceNanos) {
            return new HeartbeatAction.Close(
                    "no heartbeat was answered for " + millis(nowNanos - unansweredSinceNanos));
        }
        if (opener && nowNanos - nextHeartbeatNanos >= 0) {
            nextHeartbeatNanos = nowNanos + heartbeatNanos;
            return new HeartbeatAction.SendHeartbeat(++sentSequence);
        }
        return new HeartbeatAction.Wait();
    }

    /**
     * When {@link #check} is due again, if nothing comes until then.
     *
     * @param nowNanos time now
     * @return time from now, in nanoseconds, at least 1
     */
    public long nextCheckInNanos(long nowNanos) {
        long due = lastBytesNanos + silenceNanos + 1 - nowNanos;
        if (unanswered) {
            due = Math.min(due, unansweredSinceNanos + silenceNanos + 1 - nowNanos);
        }
        if (opener) {
            due = Math.min(due, nextHeartbeatNanos - nowNanos);
        }
        return Math.max(1, due);
    }

    private static String millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis() + " ms";
    }
}
