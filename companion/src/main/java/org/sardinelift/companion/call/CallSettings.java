package org.sardinelift.companion.call;

import java.time.Duration;
import org.sardinelift.companion.outcome.OutcomeBounds;
import org.sardinelift.core.gate.GateSettings;
import org.sardinelift.settings.SettingsNode;

/**
 * Limits of calls at a companion.
 *
 * @param tickInterval time between checks of deadlines while there are calls
 * @param gate settings of the slot gate
 * @param outcomes bounds of the outcomes kept
 * @param maxAnswerBytes largest response that is kept; a larger one can't be replayed
 * @param orphanGrace time after which a call is cancelled whose entry has not reconnected
 * @param pauseThreshold time without a tick after which this process counts as having been paused
 */
public record CallSettings(
        Duration tickInterval,
        GateSettings gate,
        OutcomeBounds outcomes,
        int maxAnswerBytes,
        Duration orphanGrace,
        Duration pauseThreshold) {
    private static final int DEFAULT_TICK_INTERVAL_MS = 20;
    private static final int IDLE_TICKS_PER_PAUSE_THRESHOLD = 4;
    private static final int DEFAULT_MAX_RECORDS = 20_000;
    private static final int DEFAULT_MAX_KEPT_BYTES = 64 * 1024 * 1024;
    private static final int DEFAULT_RETENTION_MS = 600_000;
    private static final int DEFAULT_MAX_TOMBSTONES = 20_000;
    private static final int DEFAULT_MAX_ENTRIES_WITH_LOST_OUTCOMES = 1_000;
    private static final int DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int DEFAULT_ORPHAN_GRACE_MS = 15_000;
    private static final int DEFAULT_PAUSE_THRESHOLD_MS = 2_000;

    /**
     * Reads and validates the limits.
     *
     * @param node the {@code calls} object of the settings file
     * @param slots calls that the target runs concurrently
     * @return the limits; errors are recorded on the node
     */
    public static CallSettings read(SettingsNode node, int slots) {
        return new CallSettings(
                node.millis("tickMs", DEFAULT_TICK_INTERVAL_MS),
                readGate(node.object("gate"), GateSettings.defaults(slots)),
                new OutcomeBounds(
                        node.integer("keptRecords", DEFAULT_MAX_RECORDS, 1, Integer.MAX_VALUE),
                        node.integer("keptBytes", DEFAULT_MAX_KEPT_BYTES, 0, Integer.MAX_VALUE),
                        node.millis("keptMs", DEFAULT_RETENTION_MS),
                        node.integer("tombstones", DEFAULT_MAX_TOMBSTONES, 1, Integer.MAX_VALUE),
                        node.integer(
                                "forgetfulEntries",
                                DEFAULT_MAX_ENTRIES_WITH_LOST_OUTCOMES,
                                1,
                                Integer.MAX_VALUE)),
                node.integer("maxAnswerBytes", DEFAULT_MAX_ANSWER_BYTES, 0, Integer.MAX_VALUE),
                node.millis("orphanGraceMs", DEFAULT_ORPHAN_GRACE_MS),
                node.millis("pauseBoundMs", DEFAULT_PAUSE_THRESHOLD_MS));
    }

    /**
     * Time between checks while there are no calls, short enough to detect a pause of this process.
     *
     * @return the time
     */
    public Duration idleTickInterval() {
        Duration idle = pauseThreshold.dividedBy(IDLE_TICKS_PER_PAUSE_THRESHOLD);
        return idle.compareTo(tickInterval) < 0 ? tickInterval : idle;
    }

    private static GateSettings readGate(SettingsNode node, GateSettings defaults) {
        int unlimited = Integer.MAX_VALUE;
        return new GateSettings(
                node.flag("enabled", defaults.isEnabled()),
                defaults.slots(),
                node.integer("maxOnlineQueue", defaults.maxOnlineQueue(), 0, unlimited),
                node.integer("maxBatchQueue", defaults.maxBatchQueue(), 0, unlimited),
                node.integer("batchAhead", defaults.batchAhead(), 0, unlimited),
                node.integer("minReserve", defaults.minReserve(), 0, unlimited),
                node.integer("maxReserve", defaults.maxReserve(), 0, unlimited),
                node.millis("reserveHalfLifeMs", (int) defaults.reserveHalfLifeMs()).toMillis(),
                node.millis("resumeWaitMs", (int) defaults.resumeWaitMs()).toMillis(),
                node.millis("reportSlackMs", (int) defaults.reportSlackMs()).toMillis(),
                node.millis("reportTtlMs", (int) defaults.reportTtlMs()).toMillis());
    }
}
