package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Looks at all calls under way with one timer; a timer for each call would wake the process more
 * often than the events of its streams do. On the event loop.
 */
final class StallDetector {
    /** A fraction of the least silence after which a call is moved. */
    private static final Duration INTERVAL = Duration.ofMillis(40);

    private final EventLoop loop;
    private final Set<ForwardedCall> runs = new LinkedHashSet<>();
    private boolean scheduled;

    StallDetector(EventLoop loop) {
        this.loop = loop;
    }

    void add(ForwardedCall run) {
        runs.add(run);
        schedule();
    }

    void remove(ForwardedCall run) {
        runs.remove(run);
    }

    private void schedule() {
        if (!scheduled && !runs.isEmpty()) {
            scheduled = true;
            loop.schedule(this::check, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void check() {
        scheduled = false;
        long now = System.nanoTime();
        List.copyOf(runs).forEach(run -> run.checkStall(now));
        schedule();
    }
}
