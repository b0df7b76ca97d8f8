package org.sardinelift.core.gate;

import java.util.ArrayDeque;

/**
 * Load on the target that is not ours: what a late report shows beyond the calls that ran here at
 * the time it speaks of.
 */
final class ForeignLoad {
    private final long slackMs;
    private final long ttlMs;
    private final long keepMs;
    private final ArrayDeque<Sample> own = new ArrayDeque<>();
    private int foreign;
    private long reportedAtMs;

    private record Sample(long timeMs, int count) {}

    ForeignLoad(long slackMs, long ttlMs) {
        this.slackMs = slackMs;
        this.ttlMs = ttlMs;
        this.keepMs = ttlMs + 2 * slackMs;
    }

    void recordOwnCalls(long nowMs, int running) {
        own.addLast(new Sample(nowMs, running));
        while (own.size() > 1 && secondTime() < nowMs - keepMs) {
            own.removeFirst();
        }
    }

    void onReport(long nowMs, EngineLoad load) {
        long spokenOfMs = nowMs - load.lagMs();
        int ours = peakOwn(spokenOfMs - slackMs, spokenOfMs + slackMs);
        foreign = Math.max(0, load.running() + load.waiting() - ours);
        reportedAtMs = nowMs;
    }

    int count(long nowMs) {
        return nowMs - reportedAtMs > ttlMs ? 0 : foreign;
    }

    private int peakOwn(long fromMs, long toMs) {
        int peak = 0;
        int before = 0;
        for (Sample sample : own) {
            if (sample.timeMs() <= fromMs) {
                before = sample.count();
            } else if (sample.timeMs() <= toMs) {
                peak = Math.max(peak, sample.count());
            }
        }
        return Math.max(peak, before);
    }

    private long secondTime() {
        return own.stream().skip(1).findFirst().orElseThrow().timeMs();
    }
}
