package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks all calls in flight for silent targets with one timer; a timer for each call would wake
 * the process more often than the events of its streams do. Used on the event loop.
 */
final class StallDetector {
    /** A fraction of the minimum silence after which a call is moved. */
    private static final Duration INTERVAL = Duration.ofMillis(40);

    private final EventLoop loop;
    private final Set<ForwardedCall> calls = new LinkedHashSet<>();
    private boolean isScheduled;

    StallDetector(EventLoop loop) {
        this.loop = loop;
    }

    void add(ForwardedCall call) {
        calls.add(call);
        schedule();
    }

    void remove(ForwardedCall call) {
        calls.remove(call);
    }

    private void schedule() {
        if (!isScheduled && !calls.isEmpty()) {
            isScheduled = true;
            loop.schedule(this::check, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void check() {
        isScheduled = false;
        long now = System.nanoTime();
        List.copyOf(calls).forEach(call -> call.checkStall(now));
        schedule();
    }
}
