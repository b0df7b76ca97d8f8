package org.sardinelift.http;

import java.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/** Logs refused connections, at most one line an interval however many there are. */
final class RefusedConnectionLog {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final AtomicLong refusedCount = new AtomicLong();
    private final AtomicLong loggedAt = new AtomicLong(System.nanoTime() - INTERVAL.toNanos());

    /** Counts a connection that was refused because of the bound, and logs it if a line is due. */
    void log(int maxConnections, SocketAddress caller) {
        refusedCount.incrementAndGet();
        long now = System.nanoTime();
        long previous = loggedAt.get();
        if (now - previous >= INTERVAL.toNanos() && loggedAt.compareAndSet(previous, now)) {
            Logger.warn(
                    "{} connections are open, the limit; refused {}, the last one from {}. Close"
                            + " idle connections or add instances.",
                    maxConnections,
                    refusedCount.getAndSet(0),
                    caller);
        }
    }
}
