package org.sardinelift.core.gate;

import java.util.ArrayDeque;

/**
 * Load on a target from other sources than this gate: what a late report shows beyond the calls
 * that this gate ran at the time the report refers to.
 */
final class ForeignLoad {
    private final long slackMs;
    private final long ttlMs;
    private final long retentionMs;
    private final ArrayDeque<Sample> ownCounts = new ArrayDeque<>();
    private int foreign;
    private long reportedAtMs;

    private record Sample(long timeMs, int count) {}

    ForeignLoad(long slackMs, long ttlMs) {
        this.slackMs = slackMs;
        this.ttlMs = ttlMs;
        this.retentionMs = ttlMs + 2 * slackMs;
    }

    void recordOwnCalls(long nowMs, int running) {
        ownCounts.addLast(new Sample(nowMs, running));
        while (ownCounts.size() > 1 && secondSampleMs() < nowMs - retentionMs) {
            ownCounts.removeFirst();
        }
    }

    void onReport(long nowMs, EngineLoad load) {
        long measuredAtMs = nowMs - load.lagMs();
        int ownAtThatTime = maxOwnCount(measuredAtMs - slackMs, measuredAtMs + slackMs);
        foreign = Math.max(0, load.running() + load.waiting() - ownAtThatTime);
        reportedAtMs = nowMs;
    }

    int count(long nowMs) {
        return nowMs - reportedAtMs > ttlMs ? 0 : foreign;
    }

    private int maxOwnCount(long fromMs, long toMs) {
        int max = 0;
        int countBefore = 0;
        for (Sample sample : ownCounts) {
            if (sample.timeMs() <= fromMs) {
                countBefore = sample.count();
            } else if (sample.timeMs() <= toMs) {
                max = Math.max(max, sample.count());
            }
        }
        return Math.max(max, countBefore);
    }

    private long secondSampleMs() {
        return ownCounts.stream().skip(1).findFirst().orElseThrow().timeMs();
    }
}
